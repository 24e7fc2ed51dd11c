package org.masticpaddle.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;

/** Builds the JSON of chat completions as the usual client libraries expect it. Thread-safe, having no state. */
final class ChatCompletions {
    private ChatCompletions() {}

    static ObjectNode delta(String id, String model, long createdSeconds, String text) {
        final ObjectNode chunk = envelope(id, model, createdSeconds, "chat.completion.chunk");
        final ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", text);
        choice.putNull("finish_reason");
        return chunk;
    }

    static ObjectNode last(String id, String model, long createdSeconds, String finishReason, Charge charge) {
        final ObjectNode chunk = envelope(id, model, createdSeconds, "chat.completion.chunk");
        final ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", finishReason);
        usage(chunk, charge);
        return chunk;
    }

    static ObjectNode whole(
            String id, String model, long createdSeconds, String text, String finishReason, Charge charge) {
        final ObjectNode answer = envelope(id, model, createdSeconds, "chat.completion");
        final ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        usage(answer, charge);
        return answer;
    }

    private static ObjectNode envelope(String id, String model, long createdSeconds, String object) {
        return Json.mapper()
                .createObjectNode()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }

    private static void usage(ObjectNode answer, Charge charge) {
        answer.putObject("usage")
                .put("prompt_tokens", charge.promptTokens())
                .put("completion_tokens", charge.outputTokens())
                .put("total_tokens", charge.promptTokens() + charge.outputTokens())
                .put("cost_micros", charge.billedMicros());
    }
}
