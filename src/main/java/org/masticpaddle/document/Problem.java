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

    /** Severity of a problem. */
    public enum Severity {
        /** The configuration must not take effect. */
        ERROR {
            @Override
            public boolean rejects() {
                return true;
            }
        },
        /** The configuration may take effect, but part of it has no effect or contradicts another part. */
        WARNING {
            @Override
            public boolean rejects() {
                return false;
            }
        };

        /**
         * Returns whether a configuration with such a problem is rejected.
         *
         * @return {@code true} for errors
         */
        public abstract boolean rejects();
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
        FLOORS_ABOVE_ONE,
        /** The file does not have the syntax of its form, or ends too early. */
        BAD_SYNTAX,
        /** The version is not above that of the configuration in force. */
        STALE_VERSION,
        /** The weights of a route's targets add up to nothing. */
        NO_WEIGHT,
        /** A route has the host and the prefix of another one, which gets all requests. */
        HIDDEN_PREFIX(Severity.WARNING),
        /** The host of a route has a form that no request's host is compared with. */
        UNMATCHABLE_HOST(Severity.WARNING),
        /** A target has the weight 0 and gets no requests. */
        WEIGHTLESS_TARGET(Severity.WARNING),
        /** An organisation has no key, so that it cannot send requests. */
        ORGANISATION_WITHOUT_KEYS(Severity.WARNING),
        /** A key is listed twice for one organisation. */
        REPEATED_KEY(Severity.WARNING),
        /** No route leads to a service. */
        UNREACHED_SERVICE(Severity.WARNING),
        /** A service offers a model that no route to it selects. */
        UNREACHED_MODEL(Severity.WARNING),
        /** A latency objective is longer than the time limit. */
        OBJECTIVE_OVER_TIME_LIMIT(Severity.WARNING),
        /** An objective for the time between events is longer than the time limit. */
        GAP_OVER_TIME_LIMIT(Severity.WARNING),
        /** A stream that may resume has too few attempts to do so. */
        TOO_FEW_ATTEMPTS(Severity.WARNING),
        /** The limit of bodies is above what a gateway accepts. */
        BODY_LIMIT_OVER_GATEWAY(Severity.WARNING),
        /** Upstreams are cold for a time in which their requests are not limited. */
        UNLIMITED_COLD_TIME(Severity.WARNING),
        /** An unknown field resembles one that is absent and has its default. */
        MISSPELT_FIELD(Severity.WARNING);

        private final Severity severity;

        Kind() {
            this(Severity.ERROR);
        }

        Kind(Severity severity) {
            this.severity = severity;
        }

        /**
         * Returns whether such problems keep a configuration from taking effect.
         *
         * @return severity of all problems of the kind
         */
        public Severity severity() {
            return severity;
        }
    }
}
