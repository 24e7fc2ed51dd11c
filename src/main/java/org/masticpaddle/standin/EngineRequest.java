package org.masticpaddle.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.PrefixBlocks;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;

/**
 * Request for a chat completion by an engine stand-in. Immutable.
 *
 * @param id identifier of the request
 * @param version version as {@code model/version}
 * @param prompt for each message its role, a colon, a space, its content and a line feed
 * @param maxTokens number of tokens to generate; 0 for a number from 8 to 40 that the request determines
 * @param stream whether the answer is streamed
 * @param priority priority from 0, which is served first, to 2
 */
record EngineRequest(String id, String version, String prompt, int maxTokens, boolean stream, int priority) {
    private static final int MAX_TOKENS = 100_000;

    static EngineRequest read(HttpServerExchange exchange, byte[] body, String fallbackId) {
        final JsonNode tree = Json.tree(body);
        final JsonNode messages = tree.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw new IllegalArgumentException("messages must be an array that is not empty");
        }
        return new EngineRequest(
                Exchanges.header(exchange, "X-Request-Id").orElse(fallbackId),
                tree.path("model").asText(),
                PrefixBlocks.prompt(messages),
                Math.max(0, Math.min(MAX_TOKENS, tree.path("max_tokens").asInt(0))),
                tree.path("stream").asBoolean(false),
                Exchanges.header(exchange, "X-Priority")
                        .map(EngineRequest::priority)
                        .orElse(1));
    }

    private static int priority(String text) {
        final int value = Integer.parseInt(text);
        if (value < 0 || value > 2) {
            throw new IllegalArgumentException("X-Priority must be 0 to 2, found " + value);
        }
        return value;
    }
}
