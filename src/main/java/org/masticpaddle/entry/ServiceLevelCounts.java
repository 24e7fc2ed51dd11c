package org.masticpaddle.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.masticpaddle.report.IntervalRecord;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Rank;

/** Counts requests by organisation and rank for the service-level report, beside other counters. Thread-safe. */
final class ServiceLevelCounts implements EntryCounters {
    private final EntryCounters next;
    private final ToLongFunction<Rank> targetMillis;
    private final Map<Key, Counts> counts = new HashMap<>();

    ServiceLevelCounts(EntryCounters next, ToLongFunction<Rank> targetMillis) {
        this.next = Objects.requireNonNull(next, "next is null");
        this.targetMillis = Objects.requireNonNull(targetMillis, "targetMillis is null");
    }

    @Override
    public void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos) {
        final long target = targetMillis.applyAsLong(request.rank());
        synchronized (counts) {
            final Counts of = of(request);
            of.answered++;
            of.late += firstByteNanos > target * 1_000_000 ? 1 : 0;
        }
        next.recordAnswer(request, charge, firstByteNanos, totalNanos);
    }

    @Override
    public void recordError(CallerRequest request, CallerError refusal) {
        synchronized (counts) {
            final Counts of = of(request);
            of.missed += refusal.kind().missesTarget() ? 1 : 0;
            of.refused.merge(refusal.kind().label(), 1L, Long::sum);
        }
        next.recordError(request, refusal);
    }

    /** Takes the counts since the last call. */
    List<IntervalRecord.Row> take() {
        final Map<Key, Counts> taken;
        synchronized (counts) {
            taken = new HashMap<>(counts);
            counts.clear();
        }
        final List<IntervalRecord.Row> rows = new ArrayList<>();
        taken.forEach((key, of) -> rows.add(new IntervalRecord.Row(
                key.organisation,
                key.rank,
                targetMillis.applyAsLong(key.rank),
                of.answered,
                of.late,
                of.missed,
                of.refused)));
        return rows;
    }

    private Counts of(CallerRequest request) {
        return counts.computeIfAbsent(new Key(request.organisation().name(), request.rank()), key -> new Counts());
    }

    private record Key(String organisation, Rank rank) {}

    private static final class Counts {
        private final Map<String, Long> refused = new TreeMap<>();
        private long answered;
        private long late;
        private long missed;
    }
}
