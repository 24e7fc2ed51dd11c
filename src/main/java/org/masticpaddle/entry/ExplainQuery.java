package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Body of {@code POST /internal/explain}: the request whose routing is to be explained. Immutable.
 *
 * @param organisation name of the organisation
 * @param kind request kind
 * @param rank rank of the request
 * @param model model selector: {@code auto}, a model, or {@code model/version}
 * @param quality required quality, {@code null} for the default of the organisation
 * @param session session identifier or token, {@code null} for none
 * @param deadlineMillis milliseconds until the deadline, {@code null} for the timeout of the rank
 * @param promptTokens number of tokens of the prompt
 * @param outputTokens maximum number of generated tokens
 * @param idempotent whether the request may run more than once
 */
public record ExplainQuery(
        String organisation,
        String kind,
        Rank rank,
        String model,
        Double quality,
        String session,
        Long deadlineMillis,
        int promptTokens,
        int outputTokens,
        boolean idempotent) {
    /** Checks the arguments. */
    public ExplainQuery {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(rank, "rank is null");
        Objects.requireNonNull(model, "model is null");
    }
}
