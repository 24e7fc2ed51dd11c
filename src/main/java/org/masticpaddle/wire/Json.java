package org.masticpaddle.wire;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * JSON codec of all messages. Ignores unknown fields, so that processes of different versions interoperate.
 * Thread-safe.
 */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Encodes a message.
     *
     * @param message record, map, string or tree
     * @return UTF-8 JSON on one line, without a trailing line break
     * @throws IllegalArgumentException if the message cannot be represented as JSON
     */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("message cannot be encoded: " + message.getClass(), e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes UTF-8 JSON
     * @param type class of the message
     * @param <T> type of the message
     * @return decoded message, never {@code null}
     * @throws MalformedMessageException if the bytes are not JSON of that type
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            final T message = MAPPER.readValue(bytes, type);
            if (message == null) {
                throw new MalformedMessageException("JSON null in place of " + type.getSimpleName(), null);
            }
            return message;
        } catch (IOException e) {
            throw new MalformedMessageException("not JSON of type " + type.getSimpleName(), e);
        }
    }

    /**
     * Decodes a message into a tree.
     *
     * @param bytes UTF-8 JSON
     * @return root of the tree
     * @throws MalformedMessageException if the bytes are not JSON
     */
    public static JsonNode tree(byte[] bytes) {
        return decode(bytes, JsonNode.class);
    }

    /**
     * Returns the shared mapper for building trees.
     *
     * @return mapper, which callers must not reconfigure
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }
}
