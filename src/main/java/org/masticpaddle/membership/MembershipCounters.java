package org.masticpaddle.membership;

/**
 * Counters of the membership service since its start. Immutable and thread-safe.
 *
 * @param polls polls of the instance list
 * @param pollFailures polls that failed
 * @param probes probes sent
 * @param probeFailures probes that returned no load report
 * @param probeBytes bytes sent and received by probes, with an estimate for HTTP headers
 * @param listBytes estimate of the bytes read from the instance list
 */
public record MembershipCounters(
        long polls, long pollFailures, long probes, long probeFailures, long probeBytes, long listBytes) {}
