package org.masticpaddle.wire;

/**
 * Message to a sidecar to cancel an attempt whose answer is no longer needed. Immutable.
 *
 * @param attemptId identifier of the attempt
 */
public record CancelOrder(String attemptId) {}
