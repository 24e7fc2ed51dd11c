package org.masticpaddle.fleet;

/** What a record of the upstreams' list changed. */
public enum RegistryChange {
    /** An upstream takes work, for the first time or again. */
    ADDED,
    /** An upstream started anew under its identifier. */
    REBORN,
    /** An upstream takes no more work. */
    LEAVING,
    /** An upstream's entry is missing around an outage; it keeps its place for a while. */
    LAPSED,
    /** An upstream is gone. */
    REMOVED,
    /** The record is older than what is known. */
    STALE,
    /** Nothing that matters. */
    UNCHANGED
}
