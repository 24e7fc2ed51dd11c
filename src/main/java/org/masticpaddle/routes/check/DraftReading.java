package org.masticpaddle.routes.check;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.Problem;

/**
 * What a {@link ConfigurationFormat} read from a file. Immutable and thread-safe.
 *
 * @param draft the configuration without its unreadable entries, empty if the file does not have the syntax of the form
 * @param problems mistakes of syntax and of single fields, in the order of the file
 */
public record DraftReading(Optional<ConfigurationDraft> draft, List<Problem> problems) {
    /** Checks the arguments and copies the list. */
    public DraftReading {
        Objects.requireNonNull(draft, "draft is null");
        problems = List.copyOf(problems);
    }
}
