package org.masticpaddle.membership;

/**
 * Counters of the membership service since its start. Immutable.
 *
 * @param polls reads of the instance list
 * @param pollFailures reads that failed
 * @param probes probes sent
 * @param probeFailures probes that brought no load report
 * @param probeBytes bytes of probes, both ways, with an estimate for HTTP headers
 * @param listBytes estimate of the bytes read from the instance list
 */
public record MembershipCounters(
        long polls, long pollFailures, long probes, long probeFailures, long probeBytes, long listBytes) {}
