package org.masticpaddle.fleet;

import java.util.Objects;

/**
 * A part of a prompt that several requests may share. Immutable.
 *
 * @param id identifier of its content
 * @param tokens size
 */
public record PromptSegment(String id, int tokens) {
    /** Checks the arguments. */
    public PromptSegment {
        Objects.requireNonNull(id, "id is null");
    }
}
