package org.masticpaddle.entry;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/** Checks the fields of a chat request that the entry uses; the engine gets all others as they are. Stateless. */
final class ChatFields {
    private static final int DEFAULT_MAX_TOKENS = 256;
    // Above what any engine generates; sums of token counts stay far from the range of int.
    private static final int MOST_TOKENS = 1_000_000;
    private static final int CHARACTERS_PER_TOKEN = 4;

    private ChatFields() {}

    static ObjectNode read(byte[] body) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
        } catch (CharacterCodingException e) {
            throw invalid("the body is not valid UTF-8");
        }
        final JsonNode tree;
        try {
            tree = Json.tree(body);
        } catch (MalformedMessageException e) {
            throw invalid("the body is not valid JSON");
        }
        if (!(tree instanceof ObjectNode object)
                || !object.path("messages").isArray()
                || object.path("messages").isEmpty()) {
            throw invalid("the body is not a JSON object with an array \"messages\" that is not empty");
        }
        for (final JsonNode message : object.path("messages")) {
            if (!message.path("role").isTextual()) {
                throw invalid("a message is not a JSON object with a text \"role\"");
            }
        }
        return object;
    }

    static String model(ObjectNode json) {
        final JsonNode model = json.path("model");
        if (model.isMissingNode() || model.isNull()) {
            return "auto";
        }
        if (!model.isTextual()) {
            throw invalid("model is not a text");
        }
        return model.asText();
    }

    static boolean stream(ObjectNode json) {
        final JsonNode stream = json.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw invalid("stream is not true or false");
        }
        return stream.asBoolean(false);
    }

    static int promptTokens(ObjectNode json) {
        int characters = 0;
        for (final JsonNode message : json.path("messages")) {
            characters += message.path("content").asText("").length();
        }
        return characters / CHARACTERS_PER_TOKEN + 1;
    }

    static int maxTokens(ObjectNode json) {
        final JsonNode limit =
                json.has("max_completion_tokens") ? json.path("max_completion_tokens") : json.path("max_tokens");
        if (limit.isMissingNode() || limit.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!limit.isIntegralNumber()
                || !limit.canConvertToInt()
                || limit.asInt() <= 0
                || limit.asInt() > MOST_TOKENS) {
            throw invalid("max_tokens is not a whole number from 1 to " + MOST_TOKENS);
        }
        return limit.asInt();
    }

    private static CallerErrorException invalid(String message) {
        return new CallerErrorException(CallerError.notRun(CallerError.Kind.INVALID_REQUEST, message));
    }
}
