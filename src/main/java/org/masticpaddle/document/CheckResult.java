package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Result of a {@link DocumentCheck}. Immutable and thread-safe.
 *
 * @param document the document; valid only if there are no problems
 * @param problems all problems, ordered by location
 */
public record CheckResult(RoutingDocument document, List<Problem> problems) {
    /** Checks the arguments and copies the list. */
    public CheckResult {
        Objects.requireNonNull(document, "document is null");
        problems = List.copyOf(problems);
    }

    /**
     * Returns whether the document may take effect.
     *
     * @return {@code true} if there are no problems
     */
    public boolean passed() {
        return problems.isEmpty();
    }
}
