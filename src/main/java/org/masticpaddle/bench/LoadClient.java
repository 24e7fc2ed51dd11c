package org.masticpaddle.bench;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.StreamListener;

/** Sends requests to the entries in turn, as the platform's balancer would. Thread-safe. */
public final class LoadClient {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client;
    private final List<URI> entries;
    private final AtomicInteger next = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param client HTTP client, started
     * @param entries origins of the entries
     */
    public LoadClient(HttpClient client, List<URI> entries) {
        this.client = client;
        this.entries = List.copyOf(entries);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return what became of it; never fails
     */
    public CompletableFuture<LoadResult> send(LoadRequest request) {
        final URI entry = entries.get(Math.floorMod(next.getAndIncrement(), entries.size()));
        final Recorder recorder = new Recorder(System.nanoTime());
        final HttpRequest call = new HttpRequest(
                entry, request.method(), request.path(), request.headers(), request.body(), IDLE_TIMEOUT, false);
        return client.stream(call, recorder).finished().handle((ignored, error) -> recorder.result(request, error));
    }

    private static final class Recorder implements StreamListener {
        private final long startedNanos;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Map<String, String> headers = Map.of();
        private long firstByteNanos;

        Recorder(long startedNanos) {
            this.startedNanos = startedNanos;
        }

        @Override
        public void onHead(int answerStatus, Map<String, String> answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (firstByteNanos == 0) {
                firstByteNanos = System.nanoTime() - startedNanos;
            }
            body.writeBytes(bytes);
        }

        LoadResult result(LoadRequest request, Throwable error) {
            return new LoadResult(
                    request,
                    error == null ? status : 0,
                    headers,
                    body.toByteArray(),
                    firstByteNanos,
                    System.nanoTime() - startedNanos);
        }
    }
}
