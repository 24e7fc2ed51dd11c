package org.masticpaddle.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.masticpaddle.wire.Json;

/** One chat completion in an engine stand-in. Guarded by the batch, but for the buffer, which is thread-safe. */
final class EngineRun {
    private final EngineRequest request;
    private final AnswerBuffer buffer = new AnswerBuffer();
    private final String shownId;
    private final String[] words;
    private final double quality;
    private final double slowness;
    private final boolean cut;
    private final boolean duplicated;
    private final long lateNanos;
    private State state = State.WAITING;
    private int emitted;
    private int cachedTokens;
    private long sequence;
    private long readyNanos;
    private double credit;

    EngineRun(EngineRequest request, Behaviour behaviour) {
        this.request = request;
        this.shownId = behaviour.ofAnother ? "other-" + request.id() : request.id();
        this.quality = behaviour.quality;
        this.slowness = behaviour.slowness;
        this.cut = behaviour.cut;
        this.duplicated = behaviour.duplicated;
        this.lateNanos = behaviour.lateNanos;
        this.words = AnswerText.words(request.version(), request.prompt(), shownId, quality, request.maxTokens());
    }

    /** Puts the run into a slot. */
    void begin(long ready, int cached) {
        state = State.RUNNING;
        readyNanos = ready + (emitted == 0 ? lateNanos : 0);
        cachedTokens = cached;
        credit = 1;
    }

    /** Emits the tokens that are due. */
    void advance(long lastNanos, long nowNanos, double intervalNanos) {
        final double interval = intervalNanos * slowness;
        if (nowNanos < readyNanos) {
            return;
        }
        credit += Math.max(0, nowNanos - Math.max(lastNanos, readyNanos)) / interval;
        final int due = (int) Math.min(credit, words.length - emitted);
        credit -= (int) credit;
        if (due > 0) {
            emit(due);
            buffer.wake();
        }
    }

    void emit(int count) {
        for (int index = 0; index < count; index++) {
            final String word = words[emitted++];
            if (request.stream()) {
                chunk(Map.of("content", word), false);
            }
            if (cut && request.stream() && emitted == (words.length + 1) / 2) {
                buffer.cut();
            }
        }
        if (emitted == words.length) {
            finish();
        }
    }

    private void finish() {
        if (request.stream()) {
            chunk(Map.of(), true);
            buffer.append("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        } else {
            final byte[] whole = Json.encode(whole());
            buffer.append(Arrays.copyOf(whole, whole.length / 2));
            if (cut) {
                buffer.cut();
            }
            buffer.append(Arrays.copyOfRange(whole, whole.length / 2, whole.length));
        }
        buffer.end();
        state = State.DONE;
    }

    private void chunk(Map<String, String> delta, boolean last) {
        final Choice choice = new Choice(0, delta, null, last ? finishReason() : null);
        final byte[] json = Json.encode(new Completion(
                shownId, "chat.completion.chunk", request.version(), List.of(choice), last ? usage() : null));
        final byte[] line =
                ("data: " + new String(json, StandardCharsets.UTF_8) + "\n\n").getBytes(StandardCharsets.UTF_8);
        buffer.append(line);
        if (duplicated) {
            buffer.append(line);
        }
    }

    private Completion whole() {
        final Message message = new Message("assistant", String.join("", words));
        final Choice choice = new Choice(0, null, message, finishReason());
        return new Completion(shownId, "chat.completion", request.version(), List.of(choice), usage());
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
        buffer.cut();
    }

    void await(long order) {
        state = State.WAITING;
        sequence = order;
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

    /** State of a run. */
    enum State {
        WAITING,
        RUNNING,
        CANCELLED,
        DONE
    }

    /** How a run behaves, which faults change. */
    record Behaviour(
            double quality, double slowness, boolean ofAnother, boolean cut, boolean duplicated, long lateNanos) {}

    record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {}

    record Choice(int index, Map<String, String> delta, Message message, String finish_reason) {}

    record Message(String role, String content) {}

    record Usage(
            int prompt_tokens, int completion_tokens, int total_tokens, Map<String, Integer> prompt_tokens_details) {}
}
