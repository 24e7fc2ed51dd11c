package org.masticpaddle.wire;

/**
 * Query to a sidecar for the status of an attempt. An attempt unknown to the sidecar is fenced, so that it will never
 * run. Immutable.
 *
 * @param attemptId identifier of the attempt
 * @param incarnation incarnation of the sidecar to which the attempt was sent
 */
public record AttemptStatusQuery(String attemptId, long incarnation) {}
