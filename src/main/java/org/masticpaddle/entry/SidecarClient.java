package org.masticpaddle.entry;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.CancelOrder;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LineSplitter;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.ChargeAcknowledgement;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

/** Calls of an entry to sidecars. Thread-safe. */
final class SidecarClient {
    /** A sidecar sends a frame at least every second; three missing ones mean that the connection is silent. */
    static final Duration SILENCE = Duration.ofSeconds(3);

    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final Duration SHORT_CALL = Duration.ofSeconds(2);

    private final HttpClient client;
    private final Supplier<String> self;

    /**
     * Creates the client.
     *
     * @param self origin of this entry, from which the sidecars pull the routing document
     */
    SidecarClient(HttpClient client, Supplier<String> self) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.self = Objects.requireNonNull(self, "self is null");
    }

    /**
     * Sends a dispatch. Frames arrive on an input/output thread, in order, before the handle finishes.
     *
     * @param fresh whether to use a new connection, because the last one broke off
     */
    StreamHandle dispatch(URI sidecar, Dispatch dispatch, boolean fresh, Consumer<Frame> frames) {
        final HttpRequest call = HttpRequest.post(sidecar, "/internal/dispatch", dispatch, SILENCE)
                .withHeaders(Map.of("Content-Type", "application/json", "Masticpaddle-Entry", self.get()));
        final LineSplitter lines = new LineSplitter(MAX_FRAME_BYTES, line -> frames.accept(Json.decode(line, Frame.class)));
        return client.stream(fresh ? call.onFreshConnection() : call, new StreamListener() {
            @Override
            public void onHead(int status, Map<String, String> headers) {
                if (status != 200) {
                    throw new MalformedMessageException("the sidecar answered status " + status, null);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                lines.accept(bytes);
            }
        });
    }

    CompletableFuture<AttemptStatusReply> settle(URI sidecar, AttemptStatusQuery query) {
        final HttpRequest call =
                HttpRequest.post(sidecar, "/internal/settle", query, SHORT_CALL).onFreshConnection();
        return client.send(call).thenApply(answer -> {
            if (!answer.successful()) {
                throw new HttpRequestException(
                        HttpRequestException.Delivery.POSSIBLY_SENT, "settle answered status " + answer.status(), null);
            }
            return Json.decode(answer.body(), AttemptStatusReply.class);
        });
    }

    void cancel(URI sidecar, String attemptId) {
        client.send(HttpRequest.post(sidecar, "/internal/cancel", new CancelOrder(attemptId), SHORT_CALL));
    }

    void settled(URI sidecar, ChargeAcknowledgement settled) {
        client.send(HttpRequest.post(sidecar, "/internal/settled", settled, SHORT_CALL));
    }
}
