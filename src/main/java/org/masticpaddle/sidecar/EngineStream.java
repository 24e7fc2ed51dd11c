package org.masticpaddle.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LineSplitter;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Decodes an engine's server-sent events into text, and checks that they answer the right request.
 *
 * <p>Invariant: text of another request is never delivered. Not thread-safe: one stream uses one instance on one thread
 * at a time.
 */
final class EngineStream {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final String expectedId;
    private final Consumer<byte[]> text;
    private final LineSplitter lines = new LineSplitter(MAX_EVENT_BYTES, this::line);
    private String finishReason = "";
    private int promptTokens;
    private int outputTokens;
    private boolean done;
    private long received;

    EngineStream(String expectedId, Consumer<byte[]> text) {
        this.expectedId = expectedId;
        this.text = text;
    }

    void accept(byte[] bytes) {
        received += bytes.length;
        lines.accept(bytes);
    }

    /** Bytes of the engine's body taken so far, from which a broken answer is resumed. */
    long received() {
        return received;
    }

    /** Whether the engine has marked the end of the stream; without the mark the answer is cut off. */
    boolean done() {
        return done;
    }

    String finishReason() {
        return finishReason;
    }

    int promptTokens() {
        return promptTokens;
    }

    int outputTokens() {
        return outputTokens;
    }

    private void line(byte[] bytes) {
        final String line = new String(bytes, StandardCharsets.UTF_8).trim();
        if (!line.startsWith(DATA)) {
            return;
        }
        final String data = line.substring(DATA.length()).trim();
        if (DONE.equals(data)) {
            done = true;
            return;
        }
        chunk(Json.tree(data.getBytes(StandardCharsets.UTF_8)));
    }

    private void chunk(JsonNode chunk) {
        final String id = chunk.path("id").asText();
        if (!expectedId.equals(id)) {
            throw new MalformedMessageException("the engine answered request \"" + id + "\"", null);
        }
        final JsonNode choice = chunk.path("choices").path(0);
        final String content = choice.path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            text.accept(content.getBytes(StandardCharsets.UTF_8));
        }
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.path("finish_reason").asText();
        }
        final JsonNode usage = chunk.path("usage");
        if (usage.isObject()) {
            promptTokens = usage.path("prompt_tokens").asInt();
            outputTokens = usage.path("completion_tokens").asInt();
        }
    }
}
