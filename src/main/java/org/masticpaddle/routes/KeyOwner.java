package org.masticpaddle.routes;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Organisation that owns a caller's key. Immutable.
 *
 * @param organisation name of the organisation
 * @param rank rank of its requests, which overrides the rank of the route; empty to use that of the route
 */
public record KeyOwner(String organisation, OptionalInt rank) {
    /** Checks the arguments. */
    public KeyOwner {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(rank, "rank is null");
    }
}
