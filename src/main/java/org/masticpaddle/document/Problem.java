package org.masticpaddle.document;

import java.util.Comparator;
import java.util.Objects;

/**
 * One mistake in a routing document. Immutable and thread-safe.
 *
 * @param kind what is wrong
 * @param file file or part that holds the mistake
 * @param line line number from 1 on, or 0 if the mistake belongs to no line
 * @param section section header without brackets, empty outside sections
 * @param key key, empty if the mistake belongs to no key
 * @param expected what is expected there
 * @param found what was found
 * @param nearest nearest known name, empty if none is near
 */
public record Problem(
        Kind kind, String file, int line, String section, String key, String expected, String found, String nearest) {
    /** Order by file, line and key. */
    public static final Comparator<Problem> BY_PLACE = Comparator.comparing(Problem::file)
            .thenComparingInt(Problem::line)
            .thenComparing(Problem::section)
            .thenComparing(Problem::key);

    /** Checks the arguments. */
    public Problem {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(file, "file is null");
        Objects.requireNonNull(section, "section is null");
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(expected, "expected is null");
        Objects.requireNonNull(found, "found is null");
        Objects.requireNonNull(nearest, "nearest is null");
    }

    /**
     * Renders the problem for people.
     *
     * @return one line
     */
    public String message() {
        final StringBuilder text = new StringBuilder(file);
        if (line > 0) {
            text.append(':').append(line);
        }
        text.append(": ");
        if (!section.isEmpty()) {
            text.append('[').append(section).append("] ");
        }
        if (!key.isEmpty()) {
            text.append(key).append(": ");
        }
        text.append("expected ").append(expected).append(", found ").append(found);
        if (!nearest.isEmpty()) {
            text.append("; did you mean \"").append(nearest).append("\"?");
        }
        return text.toString();
    }

    /** What is wrong. */
    public enum Kind {
        /** The bytes are not UTF-8, or hold control characters. */
        BAD_TEXT,
        /** The document is above the size limit. */
        TOO_LARGE,
        /** A line is neither a header, a key with a value, nor a comment. */
        BAD_LINE,
        /** A section header is not one of the known forms. */
        UNKNOWN_SECTION,
        /** A section occurs twice in a part. */
        DUPLICATE_SECTION,
        /** A key occurs twice in a section. */
        DUPLICATE_KEY,
        /** A key is not known in its section. */
        UNKNOWN_KEY,
        /** A key without a default is missing. */
        MISSING_KEY,
        /** A value is of the wrong form or out of range. */
        BAD_VALUE,
        /** A team writes in the section of another team, or of a team that is not declared. */
        FOREIGN_SECTION,
        /** A name is declared twice, in one part or in two. */
        DUPLICATE_NAME,
        /** Two organisations have one credential. */
        DUPLICATE_CREDENTIAL,
        /** A value names something that no part declares. */
        UNKNOWN_REFERENCE,
        /** A roll-out leads to a version that receives no new work. */
        WITHDRAWN_TARGET,
        /** The floors of all ranks add up to more than 1. */
        FLOORS_ABOVE_ONE
    }
}
