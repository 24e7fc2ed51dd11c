package org.masticpaddle.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides which members to probe now within a limit of bytes a second. Not thread-safe. */
final class ProbeSchedule {
    // Request and answer of a probe with HTTP headers, for probes whose answer is not known yet.
    private static final int USUAL_BYTES = 500;

    private final long probeMillis;
    private final long expiryMillis;
    private final int bytesASecond;
    private final Map<String, Long> startedMillis = new HashMap<>();
    private final Set<String> running = new HashSet<>();
    private double budget;
    private long refilledMillis;

    ProbeSchedule(MembershipSettings settings, long nowMillis) {
        this.probeMillis = settings.probeMillis();
        this.expiryMillis = 3 * settings.probeTimeoutMillis() + probeMillis;
        this.bytesASecond = settings.probeBytesASecond();
        this.budget = bytesASecond;
        this.refilledMillis = nowMillis;
    }

    /** Chooses members that were not heard from for the probe interval, longest first, and counts their probes. */
    List<Member> take(List<Member> members, long nowMillis) {
        budget = Math.min(bytesASecond, budget + (nowMillis - refilledMillis) * bytesASecond / 1000.0);
        refilledMillis = nowMillis;
        // The end of a probe is lost when the ring of the duty is full.
        startedMillis.values().removeIf(started -> nowMillis - started > expiryMillis);
        running.retainAll(startedMillis.keySet());
        final List<Member> due = members.stream()
                .filter(member -> due(member, nowMillis))
                .sorted(Comparator.comparingLong(Member::lastReportMillis))
                .limit((long) Math.max(0, budget / USUAL_BYTES))
                .toList();
        due.forEach(member -> {
            startedMillis.put(member.instance().id(), nowMillis);
            running.add(member.instance().id());
        });
        budget -= due.size() * USUAL_BYTES;
        return due;
    }

    private boolean due(Member member, long nowMillis) {
        final Long started = startedMillis.get(member.instance().id());
        final boolean recent = started != null && nowMillis - started < probeMillis;
        final boolean silent = member.load().isEmpty() || nowMillis - member.lastReportMillis() >= probeMillis;
        return silent && !recent && !running.contains(member.instance().id());
    }

    /** Notes the end of a probe and corrects the budget by the bytes it took. */
    void ended(String id, int bytes) {
        running.remove(id);
        budget += USUAL_BYTES - bytes;
    }
}
