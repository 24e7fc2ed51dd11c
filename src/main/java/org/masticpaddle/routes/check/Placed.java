package org.masticpaddle.routes.check;

import java.util.Objects;
import java.util.Set;

/**
 * An entry of a configuration and its place in the file. Immutable and thread-safe if the value is.
 *
 * @param place path of the entry in the file, such as {@code routes[3]}
 * @param written fields that the file contains; the others have their defaults
 * @param value the entry
 * @param <T> type of the entry
 */
public record Placed<T>(String place, Set<Field> written, T value) {
    /** Checks the arguments and copies the set. */
    public Placed {
        Objects.requireNonNull(place, "place is null");
        Objects.requireNonNull(value, "value is null");
        written = Set.copyOf(written);
    }

    /**
     * Returns whether the file contains a field.
     *
     * @param field a field of the entry
     * @return {@code false} if the field has its default
     */
    public boolean has(Field field) {
        return written.contains(field);
    }
}
