package org.masticpaddle.fleet;

import java.util.Objects;

/**
 * A segment of a prompt that several requests may share, such as a system prompt. Immutable.
 *
 * @param id identifier of the content; segments with equal content have equal identifiers
 * @param tokens length in tokens
 */
public record PromptSegment(String id, int tokens) {
    /** Checks the arguments. */
    public PromptSegment {
        Objects.requireNonNull(id, "id is null");
    }
}
