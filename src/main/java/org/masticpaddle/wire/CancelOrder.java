package org.masticpaddle.wire;

/**
 * Order to a sidecar to stop an attempt whose answer nobody waits for. Immutable.
 *
 * @param attemptId attempt identifier
 */
public record CancelOrder(String attemptId) {}
