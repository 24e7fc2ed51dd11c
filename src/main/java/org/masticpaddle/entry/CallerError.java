package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.wire.RunState;

/**
 * Error with which a caller's request ends. Immutable and thread-safe.
 *
 * @param kind kind of the error
 * @param message human-readable explanation
 * @param run whether the request has run
 * @param retryAfterMillis milliseconds after which a retry may succeed, 0 if a retry does not help
 */
public record CallerError(Kind kind, String message, RunState run, long retryAfterMillis) {
    /** Checks the arguments. */
    public CallerError {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(run, "run is null");
    }

    /**
     * Creates the error of a request that has not run, with the retry time of its kind.
     *
     * @param kind kind of the error
     * @param message human-readable explanation
     * @return the error, with run state {@code not_run}
     */
    public static CallerError notRun(Kind kind, String message) {
        return new CallerError(kind, message, RunState.NOT_RUN, kind.defaultRetryMillis);
    }

    /**
     * Creates the error of a request that has not run, with a retry time.
     *
     * @param kind kind of the error
     * @param message human-readable explanation
     * @param retryAfterMillis milliseconds after which a retry may succeed, 0 if a retry does not help
     * @return the error, with run state {@code not_run}
     */
    public static CallerError notRun(Kind kind, String message, long retryAfterMillis) {
        return new CallerError(kind, message, RunState.NOT_RUN, retryAfterMillis);
    }

    /**
     * Creates an error with a given run state and the retry time of its kind.
     *
     * @param kind kind of the error
     * @param message human-readable explanation
     * @param run whether the request has run
     * @return the error, with the given run state
     */
    public static CallerError failed(Kind kind, String message, RunState run) {
        return new CallerError(kind, message, run, kind.defaultRetryMillis);
    }

    /**
     * Returns this error for a request of which an attempt may have run.
     *
     * @return the same error, with run state {@code unknown} in place of {@code not_run}
     */
    public CallerError afterPossibleRun() {
        return run == RunState.NOT_RUN ? new CallerError(kind, message, RunState.UNKNOWN, retryAfterMillis) : this;
    }

    /** Kind of an error, with its HTTP status. */
    public enum Kind {
        /** The request is malformed. */
        INVALID_REQUEST(400, 0),
        /** The idempotency key is missing, malformed, too old or from the future. */
        INVALID_IDEMPOTENCY_KEY(400, 0),
        /** The bearer key is missing or belongs to no organisation. */
        UNAUTHORIZED(401, 0),
        /** The organisation may not use the model or version that it requested. */
        NOT_ALLOWED(403, 0),
        /** There is no such path, model or service. */
        NOT_FOUND(404, 0),
        /** The method is not supported here. */
        METHOD_NOT_ALLOWED(405, 0),
        /** The request body did not arrive in time. */
        REQUEST_TIMEOUT(408, 0),
        /** A request with the same idempotency key is running. */
        IN_PROGRESS(409, 1_000),
        /** The version of the session is withdrawn, which ends the session. */
        SESSION_ENDED(410, 0),
        /** The request body is too large or incomplete. */
        BODY_TOO_LARGE(413, 0),
        /** The idempotency key was used with another body. */
        KEY_REUSED(422, 0),
        /** The headers are too large. */
        HEADERS_TOO_LARGE(431, 0),
        /** A limit of the organisation is reached. */
        LIMIT_REACHED(429, 1_000),
        /** The entry or its upstreams are overloaded. */
        OVERLOADED(503, 1_000),
        /** No allowed upstream or version is available. */
        NO_UPSTREAM(503, 1_000),
        /** The process is draining or has no routing document yet. */
        NOT_READY(503, 1_000),
        /** The platform's log is unavailable. */
        LOG_UNAVAILABLE(503, 2_000),
        /** The caller closed its connection, so that nobody receives this error. */
        CALLER_GONE(499, 0),
        /** The upstream failed. */
        UPSTREAM_FAILED(502, 1_000),
        /** The answer did not arrive before the deadline. */
        DEADLINE_EXCEEDED(504, 0);

        private final int status;
        private final long defaultRetryMillis;

        Kind(int status, long defaultRetryMillis) {
            this.status = status;
            this.defaultRetryMillis = defaultRetryMillis;
        }

        /**
         * Returns the HTTP status of the response.
         *
         * @return status, 400 or above
         */
        public int status() {
            return status;
        }

        /**
         * Returns whether a request that ends with this error misses the service-level objective. Errors of the caller,
         * limits of its organisation and ends of sessions do not count.
         *
         * @return {@code true} if the service is responsible for the error
         */
        public boolean missesTarget() {
            return status >= 500;
        }

        /**
         * Returns the name that is written in error bodies, logs and reports.
         *
         * @return lower-case name of the constant
         */
        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
