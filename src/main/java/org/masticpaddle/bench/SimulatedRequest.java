package org.masticpaddle.bench;

import org.masticpaddle.admission.WaitingRequest;

/**
 * A request of a simulated load.
 *
 * @param source name of the source that sent it
 * @param request what the entry sees of it
 * @param tokens tokens that it really uses
 * @param serviceNanos time that it occupies a slot
 */
record SimulatedRequest(String source, WaitingRequest request, long tokens, long serviceNanos) {}
