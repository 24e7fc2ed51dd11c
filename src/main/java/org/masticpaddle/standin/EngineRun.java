package org.masticpaddle.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.masticpaddle.wire.Json;

/**
 * Execution of one chat completion in an engine stand-in. Access is guarded by the lock of {@link EngineBatch}, except
 * for the buffer, which is thread-safe.
 */
final class EngineRun {
    private final EngineRequest request;
    private final AnswerBuffer buffer = new AnswerBuffer();
    private final String reportedId;
    private final String[] words;
    private final double quality;
    private final double slowness;
    private final boolean closesMidAnswer;
    private final boolean duplicatesChunks;
    private final long firstTokenDelayNanos;
    private State state = State.WAITING;
    private int emitted;
    private int cachedTokens;
    private long sequence;
    private long prefillEndNanos;
    private double tokenCredit;

    EngineRun(EngineRequest request, Behaviour behaviour) {
        this.request = request;
        this.reportedId = behaviour.misattributed ? "other-" + request.id() : request.id();
        this.quality = behaviour.quality;
        this.slowness = behaviour.slowness;
        this.closesMidAnswer = behaviour.closesMidAnswer;
        this.duplicatesChunks = behaviour.duplicatesChunks;
        this.firstTokenDelayNanos = behaviour.firstTokenDelayNanos;
        this.words = AnswerText.words(request.version(), request.prompt(), reportedId, quality, request.maxTokens());
    }

    /** Marks the run as running; it emits its first token when the prefill ends. */
    void start(long prefillEnd, int cached) {
        state = State.RUNNING;
        prefillEndNanos = prefillEnd + (emitted == 0 ? firstTokenDelayNanos : 0);
        cachedTokens = cached;
        tokenCredit = 1;
    }

    /** Emits the tokens that are due since the previous tick, carrying fractions of a token over to the next. */
    void emitDueTokens(long previousTickNanos, long nowNanos, double intervalNanos) {
        final double interval = intervalNanos * slowness;
        if (nowNanos < prefillEndNanos) {
            return;
        }
        tokenCredit += Math.max(0, nowNanos - Math.max(previousTickNanos, prefillEndNanos)) / interval;
        final int due = (int) Math.min(tokenCredit, words.length - emitted);
        tokenCredit -= (int) tokenCredit;
        if (due > 0) {
            emit(due);
            buffer.notifyWriters();
        }
    }

    void emit(int count) {
        for (int index = 0; index < count; index++) {
            final String word = words[emitted++];
            if (request.stream()) {
                appendChunk(Map.of("content", word), false);
            }
            if (closesMidAnswer && request.stream() && emitted == (words.length + 1) / 2) {
                buffer.closeWriters();
            }
        }
        if (emitted == words.length) {
            finish();
        }
    }

    private void finish() {
        if (request.stream()) {
            appendChunk(Map.of(), true);
            buffer.append("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        } else {
            final byte[] encoded = Json.encode(completion());
            buffer.append(Arrays.copyOf(encoded, encoded.length / 2));
            if (closesMidAnswer) {
                buffer.closeWriters();
            }
            buffer.append(Arrays.copyOfRange(encoded, encoded.length / 2, encoded.length));
        }
        buffer.end();
        state = State.DONE;
    }

    private void appendChunk(Map<String, String> delta, boolean last) {
        final Choice choice = new Choice(0, delta, null, last ? finishReason() : null);
        final byte[] json = Json.encode(new Completion(
                reportedId, "chat.completion.chunk", request.version(), List.of(choice), last ? usage() : null));
        final byte[] line =
                ("data: " + new String(json, StandardCharsets.UTF_8) + "\n\n").getBytes(StandardCharsets.UTF_8);
        buffer.append(line);
        if (duplicatesChunks) {
            buffer.append(line);
        }
    }

    private Completion completion() {
        final Message message = new Message("assistant", String.join("", words));
        final Choice choice = new Choice(0, null, message, finishReason());
        return new Completion(reportedId, "chat.completion", request.version(), List.of(choice), usage());
    }

    private String finishReason() {
        return request.maxTokens() > 0 ? "length" : "stop";
    }

    private Usage usage() {
        final int prompt = AnswerText.countTokens(request.prompt());
        return new Usage(prompt, words.length, prompt + words.length, Map.of("cached_tokens", cachedTokens));
    }

    void cancel() {
        state = State.CANCELLED;
        buffer.closeWriters();
    }

    void enqueue(long sequenceNumber) {
        state = State.WAITING;
        sequence = sequenceNumber;
    }

    EngineRequest request() {
        return request;
    }

    AnswerBuffer buffer() {
        return buffer;
    }

    State state() {
        return state;
    }

    int emitted() {
        return emitted;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    double quality() {
        return quality;
    }

    long sequence() {
        return sequence;
    }

    String contentType() {
        return request.stream() ? "text/event-stream" : "application/json";
    }

    /** State of a run in the batch. */
    enum State {
        WAITING,
        RUNNING,
        CANCELLED,
        DONE
    }

    /**
     * Quality, speed and injected faults of a run. Immutable.
     *
     * @param quality true quality of the answer, 0 to 1
     * @param slowness factor on the time between tokens
     * @param misattributed whether the answer has the identifier and the text of another request
     * @param closesMidAnswer whether the connection is closed in the middle of the answer
     * @param duplicatesChunks whether each streamed chunk is sent twice
     * @param firstTokenDelayNanos additional delay of the first token, in nanoseconds
     */
    record Behaviour(
            double quality,
            double slowness,
            boolean misattributed,
            boolean closesMidAnswer,
            boolean duplicatesChunks,
            long firstTokenDelayNanos) {}

    record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {}

    record Choice(int index, Map<String, String> delta, Message message, String finish_reason) {}

    record Message(String role, String content) {}

    record Usage(
            int prompt_tokens, int completion_tokens, int total_tokens, Map<String, Integer> prompt_tokens_details) {}
}
