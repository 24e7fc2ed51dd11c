package org.masticpaddle.routes.check;

import java.util.Objects;

import org.masticpaddle.document.PartDifference;

/**
 * Change of a configuration. Immutable and thread-safe.
 *
 * @param aspect what the change concerns
 * @param change entry, field and values; keys of organisations only by their digest
 */
public record RoutingChange(Aspect aspect, PartDifference.Change change) {
    /** Checks the arguments. */
    public RoutingChange {
        Objects.requireNonNull(aspect, "aspect is null");
        Objects.requireNonNull(change, "change is null");
    }
}
