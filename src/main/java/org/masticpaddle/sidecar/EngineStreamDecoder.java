package org.masticpaddle.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LineSplitter;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Decodes an engine's server-sent events into text and verifies that they belong to the expected request.
 *
 * <p>Invariant: text of another request is never delivered. Not thread-safe; each stream needs its own instance.
 */
final class EngineStreamDecoder {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String DATA_FIELD = "data:";
    private static final String END_MARKER = "[DONE]";

    private final String expectedId;
    private final Consumer<byte[]> textReceiver;
    private final LineSplitter lines = new LineSplitter(MAX_EVENT_BYTES, this::decodeLine);
    private String finishReason = "";
    private int promptTokens;
    private int outputTokens;
    private boolean endMarkerReceived;
    private long receivedBytes;

    EngineStreamDecoder(String expectedId, Consumer<byte[]> textReceiver) {
        this.expectedId = expectedId;
        this.textReceiver = textReceiver;
    }

    void accept(byte[] bytes) {
        receivedBytes += bytes.length;
        lines.accept(bytes);
    }

    /** Number of bytes received of the engine's response body: the offset at which an interrupted stream is resumed. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether the engine has sent the end marker; without it the answer is truncated. */
    boolean endMarkerReceived() {
        return endMarkerReceived;
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

    private void decodeLine(byte[] bytes) {
        final String line = new String(bytes, StandardCharsets.UTF_8).trim();
        if (!line.startsWith(DATA_FIELD)) {
            return;
        }
        final String data = line.substring(DATA_FIELD.length()).trim();
        if (END_MARKER.equals(data)) {
            endMarkerReceived = true;
            return;
        }
        decodeChunk(Json.tree(data.getBytes(StandardCharsets.UTF_8)));
    }

    private void decodeChunk(JsonNode chunk) {
        final String id = chunk.path("id").asText();
        if (!expectedId.equals(id)) {
            throw new MalformedMessageException("the engine answered request \"" + id + "\"", null);
        }
        final JsonNode choice = chunk.path("choices").path(0);
        final String content = choice.path("delta").path("content").asText("");
        if (!content.isEmpty()) {
            textReceiver.accept(content.getBytes(StandardCharsets.UTF_8));
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
