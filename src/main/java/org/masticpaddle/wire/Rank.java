package org.masticpaddle.wire;

import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/** Rank of a request, the most urgent first. */
public enum Rank {
    /** Served before all other ranks. */
    URGENT,
    /** Interactive requests that are not urgent. */
    STANDARD,
    /** Requests that tolerate long waits. */
    BACKGROUND;

    /**
     * Returns the name used in messages and in the routing document.
     *
     * @return name of the constant in lower case
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the rank with a name.
     *
     * @param label name, in any case
     * @return rank, empty if no rank has this name
     */
    public static Optional<Rank> of(String label) {
        for (final Rank rank : values()) {
            if (rank.label().equals(label.toLowerCase(Locale.ROOT))) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
