package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;

/** Keyed streams of the shared log. Only the newest record of each key is valid. */
public enum LogStream {
    /** Configuration and rollout orders, written by the operator only. */
    OPERATOR(Duration.ofSeconds(10)),
    /** Registrations of upstreams, written by the upstreams only. */
    UPSTREAMS(Duration.ofMillis(2_200)),
    /** Status of rollouts for the operator, written by gateways. */
    STATUS(Duration.ofSeconds(10)),
    /** Counts of answers during rollouts, one record per gateway, written and read by gateways. */
    ROLLOUT_COUNTS(Duration.ofSeconds(10)),
    /** Reports of upstream crashes, one record per gateway that has seen one, written and read by gateways. */
    CRASH_REPORTS(Duration.ofSeconds(10));

    private final Duration rewriteTime;

    LogStream(Duration rewriteTime) {
        this.rewriteTime = Objects.requireNonNull(rewriteTime, "rewriteTime is null");
    }

    /**
     * Returns the time within which the writers of the stream write again what a restored log has lost.
     *
     * @return time after the log was read again; a key that is still missing then counts as removed
     */
    public Duration rewriteTime() {
        return rewriteTime;
    }
}
