package org.masticpaddle.routes;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The organisation to which a caller's key belongs. Immutable.
 *
 * @param organisation name of the organisation
 * @param rank rank of its requests, which goes before the route's
 */
public record KeyOwner(String organisation, OptionalInt rank) {
    /** Checks the arguments. */
    public KeyOwner {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(rank, "rank is null");
    }
}
