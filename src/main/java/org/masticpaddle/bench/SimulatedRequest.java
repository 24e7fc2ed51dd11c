package org.masticpaddle.bench;

import org.masticpaddle.admission.WaitingRequest;

/**
 * A request of a simulated load. Immutable.
 *
 * @param source name of the {@link LoadSource} that sent it
 * @param request the part that is visible to the entry
 * @param tokens tokens that its answer takes, unknown to the entry
 * @param serviceNanos time for which it occupies a slot
 */
record SimulatedRequest(String source, WaitingRequest request, long tokens, long serviceNanos) {}
