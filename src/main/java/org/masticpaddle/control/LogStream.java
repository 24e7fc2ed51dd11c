package org.masticpaddle.control;

/** Keyed streams of the shared log. Only the newest record of each key is valid. */
public enum LogStream {
    /** Configuration and rollout orders, written by the operator only. */
    OPERATOR,
    /** Registrations of upstreams, written by the upstreams only. */
    UPSTREAMS,
    /** Status of rollouts for the operator, written by gateways. */
    STATUS,
    /** Counts of answers during rollouts, one record per gateway, written and read by gateways. */
    ROLLOUT_COUNTS,
    /** Reports of upstream crashes, one record per gateway that has seen one, written and read by gateways. */
    CRASH_REPORTS
}
