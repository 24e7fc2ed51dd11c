package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/**
 * Result of a check. Immutable and thread-safe.
 *
 * @param document the document; only of use if there are no problems
 * @param problems all mistakes, in order of their place
 */
public record CheckResult(RoutingDocument document, List<Problem> problems) {
    /** Checks the arguments and copies the list. */
    public CheckResult {
        Objects.requireNonNull(document, "document is null");
        problems = List.copyOf(problems);
    }

    /**
     * Tells whether the document may take effect.
     *
     * @return {@code true} if there are no problems
     */
    public boolean passed() {
        return problems.isEmpty();
    }
}
