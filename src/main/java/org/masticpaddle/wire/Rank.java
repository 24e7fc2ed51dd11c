package org.masticpaddle.wire;

import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/** Rank of a request, most urgent first. */
public enum Rank {
    /** Served before all others. */
    URGENT,
    /** Interactive work without urgency. */
    STANDARD,
    /** Work that can wait. */
    BACKGROUND;

    /**
     * Returns the name used in messages and documents.
     *
     * @return lower-case name
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a rank by its name.
     *
     * @param label name in any case
     * @return the rank, if there is one of this name
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
