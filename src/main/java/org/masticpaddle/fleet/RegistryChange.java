package org.masticpaddle.fleet;

/** Effect of a record of the upstream list on the {@link UpstreamRegistry}. */
public enum RegistryChange {
    /** An upstream became available, for the first time or again. */
    ADDED,
    /** An upstream restarted under the same identifier. */
    REBORN,
    /** An upstream is draining and accepts no new requests. */
    LEAVING,
    /** An entry was removed around an outage of the list; the upstream stays available during the grace period. */
    LAPSED,
    /** An upstream was removed. */
    REMOVED,
    /** The record belongs to an earlier incarnation, or is older than what is known, and was ignored. */
    STALE,
    /** Neither the availability nor the incarnation of an upstream changed. */
    UNCHANGED
}
