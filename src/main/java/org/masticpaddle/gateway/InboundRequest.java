package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.masticpaddle.fleet.PromptSegment;

/**
 * Metadata from the headers of a caller's request. Immutable.
 *
 * @param id identifier of the request, new for each retry by the caller; empty text if there is none
 * @param timeoutMillis time for which the caller waits for the answer, in milliseconds; empty if it states none
 * @param key API key of the caller, empty if the request has none
 * @param model model that the caller selects, empty if it leaves the choice to the gateway
 * @param promptTokens tokens of the prompt, 0 for plain services
 * @param maxOutputTokens maximum tokens of the answer, 0 for plain services
 * @param estimatedOutputTokens caller's estimate of the tokens of the answer, empty if it gives none
 * @param prompt segments of the prompt in order, empty for plain services
 * @param lastEventId identifier of the last event that the caller received, empty unless it resumes a stream
 * @param session session that the request belongs to, empty if there is none
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
        Objects.requireNonNull(timeoutMillis, "timeoutMillis is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(model, "model is null");
        prompt = List.copyOf(prompt);
    }
}
