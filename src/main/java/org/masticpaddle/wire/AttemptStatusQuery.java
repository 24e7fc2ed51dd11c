package org.masticpaddle.wire;

/**
 * Question to a sidecar what became of an attempt; an attempt that it has never seen is sealed. Immutable.
 *
 * @param attemptId attempt identifier
 * @param incarnation incarnation of the sidecar that the attempt was meant for
 */
public record AttemptStatusQuery(String attemptId, long incarnation) {}
