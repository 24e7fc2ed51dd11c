package org.masticpaddle.bench;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.claim.AttemptIdGenerator;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.StreamListener;

/** Callers of a deployment: builds requests, sends them and keeps what became of them. Used by one thread. */
abstract class Callers {
    static final String CALLER_KEY = "demo-key-south";
    static final String ORGANISATION = "south";

    private static final long WAIT_LIMIT_SECONDS = 60;

    private final HttpClient client = new HttpClient(2);
    private final UniformRandomProvider random;
    private final AttemptIdGenerator keyGenerator;
    private final List<LoadResult> results = new CopyOnWriteArrayList<>();
    private final List<String> falseNotRunResponses = new CopyOnWriteArrayList<>();

    Callers(long seed) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
        keyGenerator = new AttemptIdGenerator(System::currentTimeMillis, random::nextLong);
    }

    abstract URI entryOrigin(int index);

    abstract int runCount(String key);

    UniformRandomProvider random() {
        return random;
    }

    List<LoadResult> results() {
        return results;
    }

    String newKey() {
        return keyGenerator.get();
    }

    /** Books through an entry with a deadline in milliseconds. */
    CompletableFuture<LoadResult> sendBooking(int entry, String key, long deadlineMillis) {
        return send(entry, booking(key, deadlineMillis));
    }

    LoadRequest booking(String key, long deadlineMillis) {
        final Map<String, String> headers = headers(deadlineMillis);
        headers.put("Idempotency-Key", key);
        return new LoadRequest(
                "booking",
                "POST",
                "/services/bookings/bookings",
                headers,
                ("{\"key\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8));
    }

    LoadRequest chat(String model, Optional<String> session, int tokens, boolean stream) {
        final Map<String, String> headers = headers(30_000);
        session.ifPresent(name -> headers.put("Masticpaddle-Session", name));
        return new LoadRequest(
                "chat",
                "POST",
                "/v1/chat/completions",
                headers,
                ChatText.requestBody(model, "prompt " + random.nextInt(1_000_000), tokens, stream));
    }

    private static Map<String, String> headers(long deadlineMillis) {
        final Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + CALLER_KEY);
        headers.put("Content-Type", "application/json");
        headers.put("Masticpaddle-Deadline-Ms", Long.toString(deadlineMillis));
        return headers;
    }

    CompletableFuture<LoadResult> send(int entry, LoadRequest request) {
        final URI origin = entryOrigin(entry);
        final CompletableFuture<LoadResult> result = new LoadClient(client, List.of(origin)).send(request);
        result.thenAccept(this::record);
        return result;
    }

    /** Sends a request and reports its first bytes. */
    CompletableFuture<LoadResult> send(int entry, LoadRequest request, Runnable firstBytes) {
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        final int[] status = new int[1];
        final Map<String, String> headers = new ConcurrentHashMap<>();
        final HttpRequest call = new HttpRequest(
                entryOrigin(entry),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                Duration.ofSeconds(30),
                true);
        final CompletableFuture<LoadResult> result = client.stream(call, new StreamListener() {
                    @Override
                    public void onHead(int answerStatus, Map<String, String> answerHeaders) {
                        status[0] = answerStatus;
                        headers.putAll(answerHeaders);
                    }

                    @Override
                    public void onBytes(byte[] bytes) {
                        body.writeBytes(bytes);
                        firstBytes.run();
                    }
                })
                .finished()
                .handle((ignored, error) ->
                        new LoadResult(request, error == null ? status[0] : 0, headers, body.toByteArray(), 0, 0));
        result.thenAccept(this::record);
        return result;
    }

    private void record(LoadResult result) {
        final String key = result.request().headers().get("Idempotency-Key");
        if (key != null && "not_run".equals(runState(result)) && runCount(key) > 0) {
            falseNotRunResponses.add("key " + key + " had run when it was refused as not run");
        }
        results.add(result);
    }

    List<String> falseNotRunResponses() {
        return falseNotRunResponses;
    }

    HttpClient client() {
        return client;
    }

    static LoadResult join(CompletableFuture<LoadResult> result) {
        return result.orTimeout(WAIT_LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** State of the run that an error names, empty for an answer. */
    static String runState(LoadResult result) {
        return result.status() < 400
                ? ""
                : Json.tree(result.body()).path("error").path("run").asText();
    }

    /** Waits for a condition with a limit that only a fault exceeds. */
    static void await(BooleanSupplier condition) {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition did not hold in " + WAIT_LIMIT_SECONDS + " s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }
}
