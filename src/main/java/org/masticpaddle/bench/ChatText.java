package org.masticpaddle.bench;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.wire.Json;

/** Builds bodies of chat requests and extracts texts and costs from their answers. Stateless and thread-safe. */
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

    /** Returns the text of a whole answer, empty if the answer is incomplete or an error. */
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

    /** Returns the cost that the answer reports in millionths of the currency unit, 0 if it reports none. */
    static long costMicros(LoadResult result) {
        final String cost = result.headers().get("masticpaddle-cost");
        if (cost != null) {
            return Long.parseLong(cost);
        }
        final String text = new String(result.body(), StandardCharsets.UTF_8);
        final int costField = text.lastIndexOf("\"cost_micros\":");
        return costField < 0 ? 0 : Long.parseLong(text.substring(costField + 14).split("[^0-9]")[0]);
    }

    private static Optional<String> streamedText(String events) {
        final StringBuilder text = new StringBuilder();
        boolean complete = false;
        for (final String line : events.split("\n")) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            final String data = line.substring(DATA_PREFIX.length()).trim();
            if ("[DONE]".equals(data)) {
                complete = true;
            } else {
                final JsonNode chunk = Json.tree(data.getBytes(StandardCharsets.UTF_8));
                text.append(chunk.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return complete ? Optional.of(text.toString()) : Optional.empty();
    }
}
