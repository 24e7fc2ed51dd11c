package org.masticpaddle.routes.check;

import java.util.EnumMap;
import java.util.Map;

/**
 * Names of the fields as operators write them, and the places that consist of them.
 *
 * <p>Invariant: every field has a name. Immutable and thread-safe.
 */
public final class FieldNames {
    private final Map<Field, String> names;

    /**
     * Creates the names of a form.
     *
     * @param names name of each field, dotted if the field is nested in its entry
     * @throws IllegalArgumentException if a field has no name
     */
    public FieldNames(Map<Field, String> names) {
        this.names = new EnumMap<>(names);
        for (final Field field : Field.values()) {
            if (!names.containsKey(field)) {
                throw new IllegalArgumentException(field + " has no name");
            }
        }
    }

    /**
     * Returns the name of a field.
     *
     * @param field a field
     * @return name as operators write it
     */
    public String of(Field field) {
        return names.get(field);
    }

    /**
     * Returns the place of a field of an entry.
     *
     * @param entry place of the entry
     * @param field field of the entry
     * @return path such as {@code routes[3].timeout}
     */
    public String in(String entry, Field field) {
        return entry + "." + of(field);
    }

    /**
     * Returns the place of an element of a list.
     *
     * @param list place of the list
     * @param index index from 0 on
     * @return path such as {@code routes[3]}
     */
    public static String element(String list, int index) {
        return list + "[" + index + "]";
    }
}
