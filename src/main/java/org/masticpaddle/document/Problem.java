package org.masticpaddle.document;

import java.util.Comparator;
import java.util.Objects;

/**
 * Problem in a routing document. Immutable and thread-safe.
 *
 * @param kind kind of the problem
 * @param file file or part that contains the problem
 * @param line line number from 1 on, 0 if the problem belongs to no line
 * @param section section header without brackets, empty outside sections
 * @param key key, empty if the problem belongs to no key
 * @param expected description of the expected text
 * @param found description of the text found
 * @param nearest most similar known name, empty if none is similar
 */
public record Problem(
        Kind kind, String file, int line, String section, String key, String expected, String found, String nearest) {
    /** Order by file, line and key. */
    public static final Comparator<Problem> BY_LOCATION = Comparator.comparing(Problem::file)
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
     * Formats the problem for display.
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

    /** Kind of a problem. */
    public enum Kind {
        /** The bytes are not UTF-8, or contain control characters. */
        BAD_TEXT,
        /** The document exceeds the size limit. */
        TOO_LARGE,
        /** A line is neither a header, a key with a value, nor a comment. */
        BAD_LINE,
        /** A section header has none of the known forms. */
        UNKNOWN_SECTION,
        /** A section occurs twice in a part. */
        DUPLICATE_SECTION,
        /** A key occurs twice in a section. */
        DUPLICATE_KEY,
        /** A key is unknown in its section. */
        UNKNOWN_KEY,
        /** A key without a default is missing. */
        MISSING_KEY,
        /** A value is malformed or out of range. */
        BAD_VALUE,
        /** A part contains a section of another team, or a rollout refers to a version of another team. */
        FOREIGN_SECTION,
        /** A name is declared twice, in one part or in two. */
        DUPLICATE_NAME,
        /** Two organisations have the same credential. */
        DUPLICATE_CREDENTIAL,
        /** A name is used that no part declares. */
        UNKNOWN_REFERENCE,
        /** The target version of a rollout is withdrawn. */
        WITHDRAWN_TARGET,
        /** The floors of all ranks add up to more than 1. */
        FLOORS_ABOVE_ONE
    }
}
