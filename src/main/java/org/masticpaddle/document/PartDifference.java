package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares two texts of a part by section and key, regardless of order and comments. Stateless and thread-safe.
 */
public final class PartDifference {
    private PartDifference() {}

    /**
     * Compares two texts.
     *
     * @param before old text
     * @param after new text
     * @return changes ordered by section and key
     */
    public static List<Change> between(String before, String after) {
        final Map<String, Map<String, String>> oldSections = sections(before);
        final Map<String, Map<String, String>> newSections = sections(after);
        final TreeSet<String> headers = new TreeSet<>(oldSections.keySet());

        headers.addAll(newSections.keySet());
        final List<Change> changes = new ArrayList<>();
        for (final String header : headers) {
            if (!oldSections.containsKey(header)) {
                changes.add(new Change(Change.Kind.ADDED, header, "", "", ""));
            } else if (!newSections.containsKey(header)) {
                changes.add(new Change(Change.Kind.REMOVED, header, "", "", ""));
            }
            compareKeys(
                    header,
                    oldSections.getOrDefault(header, Map.of()),
                    newSections.getOrDefault(header, Map.of()),
                    changes);
        }
        return changes;
    }

    private static void compareKeys(
            String header, Map<String, String> oldValues, Map<String, String> newValues, List<Change> changes) {
        final TreeSet<String> keys = new TreeSet<>(oldValues.keySet());
        keys.addAll(newValues.keySet());
        for (final String key : keys) {
            final String before = oldValues.getOrDefault(key, "");
            final String after = newValues.getOrDefault(key, "");
            if (!oldValues.containsKey(key)) {
                changes.add(new Change(Change.Kind.ADDED, header, key, "", after));
            } else if (!newValues.containsKey(key)) {
                changes.add(new Change(Change.Kind.REMOVED, header, key, before, ""));
            } else if (!before.equals(after)) {
                changes.add(new Change(Change.Kind.CHANGED, header, key, before, after));
            }
        }
    }

    private static Map<String, Map<String, String>> sections(String text) {
        final Map<String, Map<String, String>> sections = new TreeMap<>();
        DocumentCheck.parse(Part.of("", text))
                .sections()
                .forEach(section -> sections.put(section.header(), section.values()));
        return sections;
    }

    /**
     * Change of a section or key. Immutable and thread-safe.
     *
     * @param kind kind of the change
     * @param section section header without brackets
     * @param key key, empty if the section as a whole was added or removed
     * @param before old value, empty if there was none
     * @param after new value, empty if there is none
     */
    public record Change(Kind kind, String section, String key, String before, String after) {
        /** Checks the arguments. */
        public Change {
            Objects.requireNonNull(kind, "kind is null");
        }

        /**
         * Formats the change for display.
         *
         * @return one line
         */
        public String message() {
            final String location = "[" + section + "]";
            if (key.isEmpty()) {
                return kind.sign + " " + location;
            }
            return switch (kind) {
                case ADDED -> "+ " + location + " " + key + " = " + after;
                case REMOVED -> "- " + location + " " + key + " = " + before;
                case CHANGED -> "~ " + location + " " + key + " = " + after + " (was " + before + ")";
            };
        }

        /** Kind of a change. */
        public enum Kind {
            /** The section or key was added. */
            ADDED("+"),
            /** The section or key was removed. */
            REMOVED("-"),
            /** The value of the key was changed. */
            CHANGED("~");

            private final String sign;

            Kind(String sign) {
                this.sign = sign;
            }

            /**
             * Returns the name that is written for scripts.
             *
             * @return lower-case name
             */
            public String label() {
                return name().toLowerCase(Locale.ROOT);
            }
        }
    }
}
