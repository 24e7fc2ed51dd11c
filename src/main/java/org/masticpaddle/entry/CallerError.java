package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.wire.RunState;

/**
 * Typed error for a caller. Immutable and thread-safe.
 *
 * @param kind kind of the error
 * @param message explanation for a person
 * @param run whether the request ran
 * @param retryAfterMillis time after which a retry may succeed, 0 if a retry does not help
 */
public record CallerError(Kind kind, String message, RunState run, long retryAfterMillis) {
    /** Checks the arguments. */
    public CallerError {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(run, "run is null");
    }

    /**
     * Refuses a request before it was dispatched.
     *
     * @param kind kind of the error
     * @param message explanation for a person
     * @return a refusal that says {@code not_run}
     */
    public static CallerError notRun(Kind kind, String message) {
        return new CallerError(kind, message, RunState.NOT_RUN, kind.defaultRetryMillis);
    }

    /**
     * Refuses a request before it was dispatched, with a time to wait.
     *
     * @param kind kind of the error
     * @param message explanation for a person
     * @param retryAfterMillis milliseconds after which a retry may succeed
     * @return a refusal that says {@code not_run}
     */
    public static CallerError notRun(Kind kind, String message, long retryAfterMillis) {
        return new CallerError(kind, message, RunState.NOT_RUN, retryAfterMillis);
    }

    /**
     * Fails a request that may have run.
     *
     * @param kind kind of the error
     * @param message explanation for a person
     * @param run whether the request ran
     * @return the error
     */
    public static CallerError failed(Kind kind, String message, RunState run) {
        return new CallerError(kind, message, run, kind.defaultRetryMillis);
    }

    /** Kind of an error, with its HTTP status. */
    public enum Kind {
        /** The request is not understood. */
        INVALID_REQUEST(400, 0),
        /** The idempotency key is missing, malformed, too old or from the future. */
        INVALID_IDEMPOTENCY_KEY(400, 0),
        /** The bearer key is missing or belongs to no organisation. */
        UNAUTHORIZED(401, 0),
        /** The organisation may not use what it asked for. */
        NOT_ALLOWED(403, 0),
        /** There is no such path, model or service. */
        NOT_FOUND(404, 0),
        /** The method is not supported here. */
        METHOD_NOT_ALLOWED(405, 0),
        /** The body did not arrive in time. */
        REQUEST_TIMEOUT(408, 0),
        /** A request with the same key is running. */
        IN_PROGRESS(409, 1_000),
        /** The session's version is withdrawn and the session ends with it. */
        SESSION_ENDED(410, 0),
        /** The body is too large. */
        BODY_TOO_LARGE(413, 0),
        /** The key was used with another body. */
        KEY_REUSED(422, 0),
        /** The headers are too large. */
        HEADERS_TOO_LARGE(431, 0),
        /** A limit of the organisation is reached. */
        LIMIT_REACHED(429, 1_000),
        /** There is more work than the upstreams can do in time. */
        OVERLOADED(503, 1_000),
        /** No upstream that may answer is available. */
        NO_UPSTREAM(503, 1_000),
        /** The process is going away or has no document yet. */
        NOT_READY(503, 1_000),
        /** The platform's log cannot be used now. */
        LOG_UNAVAILABLE(503, 2_000),
        /** The caller closed its connection; nobody gets this answer. */
        CALLER_GONE(499, 0),
        /** The upstream failed. */
        UPSTREAM_FAILED(502, 1_000),
        /** The answer did not come in time. */
        DEADLINE_EXCEEDED(504, 0);

        private final int status;
        private final long defaultRetryMillis;

        Kind(int status, long defaultRetryMillis) {
            this.status = status;
            this.defaultRetryMillis = defaultRetryMillis;
        }

        /**
         * Returns the HTTP status.
         *
         * @return status of 400 or above
         */
        public int status() {
            return status;
        }

        /**
         * Tells whether a request that ends with this error counts as missed by the service. Errors of the caller, its
         * own limits and documented ends of sessions do not.
         *
         * @return {@code true} if the service did not do its part
         */
        public boolean missesTarget() {
            return status >= 500;
        }

        /**
         * Returns the name in messages.
         *
         * @return lower-case name
         */
        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
