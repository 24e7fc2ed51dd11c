package org.masticpaddle.control;

/** Streams of the shared log in which the newest record of each key counts. */
public enum LogStream {
    /** Configuration and roll-out orders, written by the operator only. */
    OPERATOR,
    /** Entries of upstreams, written by the upstreams only. */
    UPSTREAMS,
    /** Status of roll-outs for the operator, written by gateways. */
    STATUS,
    /** Counts of answers during roll-outs, one record a gateway, written and read by gateways. */
    ROLLOUT_COUNTS
}
