package org.masticpaddle.sidecar;

/**
 * Incarnation and bounds of a sidecar. Immutable and thread-safe.
 *
 * @param incarnation number of this start
 * @param slots attempts that run at the same time
 * @param maxQueued attempts that wait for a slot
 */
record SidecarLimits(long incarnation, int slots, int maxQueued) {}
