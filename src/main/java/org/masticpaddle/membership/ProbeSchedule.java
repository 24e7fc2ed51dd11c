package org.masticpaddle.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Selects the members to probe, within a token bucket of bytes per second. Not thread-safe. */
final class ProbeSchedule {
    // Estimate for the request and response of a probe with HTTP headers; corrected when the probe ends.
    private static final int ESTIMATED_PROBE_BYTES = 500;

    private final long probeIntervalMillis;
    private final long probeExpiryMillis;
    private final int bytesPerSecond;
    private final Map<String, Long> probeStartMillis = new HashMap<>();
    private final Set<String> inFlight = new HashSet<>();
    private double budgetBytes;
    private long refilledMillis;

    ProbeSchedule(MembershipSettings settings, long nowMillis) {
        this.probeIntervalMillis = settings.probeIntervalMillis();
        this.probeExpiryMillis = 3 * settings.probeTimeoutMillis() + probeIntervalMillis;
        this.bytesPerSecond = settings.probeBytesPerSecond();
        this.budgetBytes = bytesPerSecond;
        this.refilledMillis = nowMillis;
    }

    /**
     * Selects members without a report for the probe interval, oldest report first, and counts their probes as started.
     */
    List<Member> startDueProbes(List<Member> members, long nowMillis) {
        budgetBytes = Math.min(bytesPerSecond, budgetBytes + (nowMillis - refilledMillis) * bytesPerSecond / 1000.0);
        refilledMillis = nowMillis;
        // Expires probes whose end was dropped because the duty's ring was full.
        probeStartMillis.values().removeIf(started -> nowMillis - started > probeExpiryMillis);
        inFlight.retainAll(probeStartMillis.keySet());
        final List<Member> due = members.stream()
                .filter(member -> isDue(member, nowMillis))
                .sorted(Comparator.comparingLong(Member::lastReportMillis))
                .limit((long) Math.max(0, budgetBytes / ESTIMATED_PROBE_BYTES))
                .toList();
        due.forEach(member -> {
            probeStartMillis.put(member.instance().id(), nowMillis);
            inFlight.add(member.instance().id());
        });
        budgetBytes -= due.size() * ESTIMATED_PROBE_BYTES;
        return due;
    }

    private boolean isDue(Member member, long nowMillis) {
        final Long started = probeStartMillis.get(member.instance().id());
        final boolean probedRecently = started != null && nowMillis - started < probeIntervalMillis;
        final boolean reportMissing =
                member.load().isEmpty() || nowMillis - member.lastReportMillis() >= probeIntervalMillis;
        return reportMissing
                && !probedRecently
                && !inFlight.contains(member.instance().id());
    }

    /** Records the end of a probe and corrects the budget by the bytes that it transferred. */
    void probeEnded(String id, int bytes) {
        inFlight.remove(id);
        budgetBytes += ESTIMATED_PROBE_BYTES - bytes;
    }
}
