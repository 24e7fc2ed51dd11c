package org.masticpaddle.bench;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.wire.Json;

/** Builds chat requests and reads their answers. Thread-safe, having no state. */
final class ChatText {
    private static final String DATA_PREFIX = "data: ";

    private ChatText() {}

    static byte[] requestBody(String model, String prompt, int maxTokens, boolean stream) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("model", model).put("stream", stream);
        if (maxTokens > 0) {
            body.put("max_tokens", maxTokens);
        }
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return Json.encode(body);
    }

    /** Text of a whole answer; empty if it is cut off or an error. */
    static Optional<String> answerText(LoadResult result) {
        if (!result.answered()) {
            return Optional.empty();
        }
        return result.headers().getOrDefault("content-type", "").startsWith("text/event-stream")
                ? streamedText(new String(result.body(), StandardCharsets.UTF_8))
                : Optional.of(Json.tree(result.body())
                        .path("choices")
                        .path(0)
                        .path("message")
                        .path("content")
                        .asText());
    }

    /** Price that the answer names, in millionths of the currency unit. */
    static long costMicros(LoadResult result) {
        final String cost = result.headers().get("masticpaddle-cost");
        if (cost != null) {
            return Long.parseLong(cost);
        }
        final String text = new String(result.body(), StandardCharsets.UTF_8);
        final int usage = text.lastIndexOf("\"cost_micros\":");
        return usage < 0 ? 0 : Long.parseLong(text.substring(usage + 14).split("[^0-9]")[0]);
    }

    private static Optional<String> streamedText(String events) {
        final StringBuilder text = new StringBuilder();
        boolean done = false;
        for (final String line : events.split("\n")) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            final String data = line.substring(DATA_PREFIX.length()).trim();
            if ("[DONE]".equals(data)) {
                done = true;
            } else {
                final JsonNode chunk = Json.tree(data.getBytes(StandardCharsets.UTF_8));
                text.append(chunk.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return done ? Optional.of(text.toString()) : Optional.empty();
    }
}
