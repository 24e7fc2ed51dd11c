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

/** Builds the calls to the upstream in this sidecar's slot. Immutable and thread-safe. */
final class UpstreamClient {
    private static final int MAX_IDLE_MILLIS = 30_000;

    private final URI upstream;

    UpstreamClient(URI upstream) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
    }

    /** Builds the first call of an attempt. One that must not run twice gets a new connection, so that a stale one cannot blur whether it was sent. */
    HttpRequest first(Dispatch dispatch, long timeoutMillis) {
        final Map<String, String> headers = new HashMap<>(dispatch.headers());
        headers.put("X-Request-Id", dispatch.attemptId());
        headers.put("X-Priority", Integer.toString(dispatch.rank().ordinal()));
        return new HttpRequest(
                upstream,
                dispatch.method(),
                dispatch.path(),
                headers,
                dispatch.body(),
                idle(timeoutMillis),
                !dispatch.idempotent());
    }

    /** Builds the call that continues an engine's stream after a broken connection. */
    HttpRequest resume(Dispatch dispatch, long offset, long timeoutMillis) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("id", dispatch.attemptId()).put("from", offset);
        return HttpRequest.post(upstream, "/engine/resume", body, idle(timeoutMillis))
                .onFreshConnection();
    }

    /** Builds the call that stops an engine's work for an attempt. */
    HttpRequest cancel(Dispatch dispatch) {
        final ObjectNode body = Json.mapper().createObjectNode().put("id", dispatch.attemptId());
        return HttpRequest.post(upstream, "/engine/cancel", body, idle(MAX_IDLE_MILLIS));
    }

    private static Duration idle(long timeoutMillis) {
        return Duration.ofMillis(Math.max(1, Math.min(timeoutMillis, MAX_IDLE_MILLIS)));
    }
}
