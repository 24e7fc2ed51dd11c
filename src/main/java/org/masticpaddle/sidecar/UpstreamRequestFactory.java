package org.masticpaddle.sidecar;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.Json;

/** Builds the requests to the sidecar's upstream. Immutable and thread-safe. */
final class UpstreamRequestFactory {
    private static final int MAX_IDLE_TIMEOUT_MILLIS = 30_000;

    private final URI upstream;

    UpstreamRequestFactory(URI upstream) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    }

    /**
     * Builds the first request of an attempt. A non-idempotent attempt uses a new connection, since with a stale pooled
     * one it can be unclear whether the request was sent.
     */
    HttpRequest initial(Dispatch dispatch, long timeoutMillis) {
        final Map<String, String> headers = new HashMap<>(dispatch.headers());
        headers.put("X-Request-Id", dispatch.attemptId());
        headers.put("X-Priority", Integer.toString(dispatch.rank().ordinal()));
        return new HttpRequest(
                upstream,
                dispatch.method(),
                dispatch.path(),
                headers,
                dispatch.body(),
                idleTimeout(timeoutMillis),
                !dispatch.idempotent());
    }

    /** Builds the request that resumes an engine's stream after a lost connection. */
    HttpRequest resume(Dispatch dispatch, long offset, long timeoutMillis) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("id", dispatch.attemptId()).put("from", offset);
        return HttpRequest.post(upstream, "/engine/resume", body, idleTimeout(timeoutMillis))
                .onFreshConnection();
    }

    /** Builds the request that cancels an attempt in the engine. */
    HttpRequest cancel(Dispatch dispatch) {
        final ObjectNode body = Json.mapper().createObjectNode().put("id", dispatch.attemptId());
        return HttpRequest.post(upstream, "/engine/cancel", body, idleTimeout(MAX_IDLE_TIMEOUT_MILLIS));
    }

    private static Duration idleTimeout(long timeoutMillis) {
        return Duration.ofMillis(Math.max(1, Math.min(timeoutMillis, MAX_IDLE_TIMEOUT_MILLIS)));
    }
}
