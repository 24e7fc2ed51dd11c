package org.masticpaddle.admission;

import java.util.Locale;

/** Reason for the rejection of a request before its dispatch. */
public enum RejectionReason {
    /** The queue is full and holds no request that the rejected one could displace. */
    QUEUE_FULL(503),
    /** Another request displaced the rejected one in a full queue. */
    DISPLACED(503),
    /** The expected wait is too long for the time left until the deadline. */
    WAIT_EXCEEDS_DEADLINE(503),
    /** The time left until the deadline is too short to run the request. */
    DEADLINE_PASSED(504),
    /** The organisation's limit of requests per second is exceeded. */
    REQUEST_LIMIT(429),
    /** The organisation's limit of tokens per second is exceeded. */
    TOKEN_LIMIT(429),
    /** The organisation's limit of concurrent requests is exceeded. */
    CONCURRENCY_LIMIT(429),
    /** The organisation's limit of spend is exceeded. */
    SPEND_LIMIT(429),
    /** The service is under pressure and the organisation has got more than its fair share. */
    ABOVE_SHARE(503);

    private final int status;

    RejectionReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status of the answer to the caller.
     *
     * @return status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name used in responses to callers and in metrics.
     *
     * @return lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
