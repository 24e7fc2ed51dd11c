package org.masticpaddle.sidecar;

/**
 * Incarnation and concurrency limits of a sidecar. Immutable and thread-safe.
 *
 * @param incarnation number of this start, above that of every earlier start
 * @param slots largest number of attempts that run at the same time
 * @param maxQueued largest number of attempts that wait for a slot
 */
record SidecarLimits(long incarnation, int slots, int maxQueued) {}
