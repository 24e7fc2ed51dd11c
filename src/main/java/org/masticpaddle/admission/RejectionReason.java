package org.masticpaddle.admission;

import java.util.Locale;

/** Why a request was refused before dispatch. */
public enum RejectionReason {
    /** The queue is full and holds nothing of less value. */
    QUEUE_FULL(503),
    /** A request of more value took its place in a full queue. */
    DISPLACED(503),
    /** The expected wait exceeds the time left. */
    WAIT_EXCEEDS_DEADLINE(503),
    /** The deadline left no time to run it. */
    DEADLINE_PASSED(504),
    /** The organisation's limit of requests a second is used up. */
    REQUEST_LIMIT(429),
    /** The organisation's limit of tokens a second is used up. */
    TOKEN_LIMIT(429),
    /** The organisation's limit of concurrent requests is used up. */
    CONCURRENCY_LIMIT(429),
    /** The organisation's limit of spend is used up. */
    SPEND_LIMIT(429);

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
     * Returns the name used in answers and metrics.
     *
     * @return lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
