package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.masticpaddle.fleet.PromptSegment;

/**
 * What a caller's headers say. Immutable.
 *
 * @param id identifier of this try of the request, empty text if there is none
 * @param timeoutMillis time for which the caller waits
 * @param key the caller's key
 * @param model model that the caller names; empty if the gateway chooses
 * @param promptTokens tokens of the prompt, 0 for plain services
 * @param maxOutputTokens tokens that the answer may have, 0 for plain services
 * @param estimatedOutputTokens the caller's guess of the tokens of the answer
 * @param prompt parts of the prompt in order
 * @param lastEventId last event that the caller has, if it resumes a stream
 * @param session session of the request
 */
public record InboundRequest(
        String id,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Optional<String> model,
        int promptTokens,
        int maxOutputTokens,
        OptionalInt estimatedOutputTokens,
        List<PromptSegment> prompt,
        OptionalLong lastEventId,
        Optional<String> session) {
    /** Checks the arguments and copies the list. */
    public InboundRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(timeoutMillis, "timeLimitMillis is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(model, "model is null");
        prompt = List.copyOf(prompt);
    }
}
