package org.masticpaddle.entry;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.masticpaddle.wire.AttemptStatusQuery;
import org.masticpaddle.wire.AttemptStatusReply;
import org.masticpaddle.wire.CancelOrder;
import org.masticpaddle.wire.ChargeAcknowledgement;
import org.masticpaddle.wire.Dispatch;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LineSplitter;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

/** Sends the requests of an entry to sidecars. Thread-safe. */
final class SidecarClient {
    /**
     * Time without a frame after which a connection counts as stalled. A sidecar sends a frame at least every second,
     * so three are missing by then.
     */
    static final Duration FRAME_TIMEOUT = Duration.ofSeconds(3);

    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client;
    private final Supplier<String> entryOrigin;

    /**
     * Creates the client.
     *
     * @param entryOrigin origin of this entry, from which the sidecars pull the routing document
     */
    SidecarClient(HttpClient client, Supplier<String> entryOrigin) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.entryOrigin = Objects.requireNonNull(entryOrigin, "entryOrigin is null");
    }

    /**
     * Sends a dispatch. The consumer is called on an I/O thread, with the frames in order, and not after the
     * handle has finished.
     *
     * @param newConnection whether to open a new connection, because the previous one failed
     */
    StreamHandle dispatch(URI sidecar, Dispatch dispatch, boolean newConnection, Consumer<Frame> frames) {
        final HttpRequest request = HttpRequest.post(sidecar, "/internal/dispatch", dispatch, FRAME_TIMEOUT)
                .withHeaders(Map.of("Content-Type", "application/json", "Masticpaddle-Entry", entryOrigin.get()));
        final LineSplitter lines =
                new LineSplitter(MAX_FRAME_BYTES, line -> frames.accept(Json.decode(line, Frame.class)));
        return client.stream(newConnection ? request.onFreshConnection() : request, new StreamListener() {
            @Override
            public void onHead(int status, Map<String, String> headers) {
                if (status != 200) {
                    throw new MalformedMessageException("the sidecar responded with status " + status, null);
                }
            }

            @Override
            public void onBytes(byte[] bytes) {
                lines.accept(bytes);
            }
        });
    }

    /** Queries the status of an attempt; one that is unknown to the sidecar is fenced, so that it will never run. */
    CompletableFuture<AttemptStatusReply> resolveAttempt(URI sidecar, AttemptStatusQuery query) {
        final HttpRequest request = HttpRequest.post(sidecar, "/internal/settle", query, REQUEST_TIMEOUT)
                .onFreshConnection();
        return client.send(request).thenApply(response -> {
            if (!response.successful()) {
                throw new HttpRequestException(
                        HttpRequestException.Delivery.POSSIBLY_SENT,
                        "the attempt status query returned status " + response.status(),
                        null);
            }
            return Json.decode(response.body(), AttemptStatusReply.class);
        });
    }

    /** Sends the cancellation of an attempt, without waiting for the response. */
    void cancel(URI sidecar, String attemptId) {
        client.send(HttpRequest.post(sidecar, "/internal/cancel", new CancelOrder(attemptId), REQUEST_TIMEOUT));
    }

    /** Acknowledges charges that have been appended to the log, without waiting for the response. */
    void acknowledgeCharges(URI sidecar, ChargeAcknowledgement acknowledged) {
        client.send(HttpRequest.post(sidecar, "/internal/settled", acknowledged, REQUEST_TIMEOUT));
    }
}
