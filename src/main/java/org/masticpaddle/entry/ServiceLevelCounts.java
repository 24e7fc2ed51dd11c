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

/**
 * Counts requests by organisation and rank for the service-level report, and passes them on to the next counters.
 * Thread-safe.
 */
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
        final long requestTargetMillis = targetMillis.applyAsLong(request.rank());
        synchronized (counts) {
            final Counts requestCounts = countsOf(request);
            requestCounts.answered++;
            requestCounts.late += firstByteNanos > requestTargetMillis * 1_000_000 ? 1 : 0;
        }
        next.recordAnswer(request, charge, firstByteNanos, totalNanos);
    }

    @Override
    public void recordError(CallerRequest request, CallerError error) {
        synchronized (counts) {
            final Counts requestCounts = countsOf(request);
            requestCounts.missed += error.kind().missesTarget() ? 1 : 0;
            requestCounts.errorsByKind.merge(error.kind().label(), 1L, Long::sum);
        }
        next.recordError(request, error);
    }

    /** Returns the counts since the last call and resets them. */
    List<IntervalRecord.Row> drain() {
        final Map<Key, Counts> drained;
        synchronized (counts) {
            drained = new HashMap<>(counts);
            counts.clear();
        }
        final List<IntervalRecord.Row> rows = new ArrayList<>();
        drained.forEach((key, values) -> rows.add(new IntervalRecord.Row(
                key.organisation,
                key.rank,
                targetMillis.applyAsLong(key.rank),
                values.answered,
                values.late,
                values.missed,
                values.errorsByKind)));
        return rows;
    }

    private Counts countsOf(CallerRequest request) {
        return counts.computeIfAbsent(new Key(request.organisation().name(), request.rank()), key -> new Counts());
    }

    private record Key(String organisation, Rank rank) {}

    private static final class Counts {
        private final Map<String, Long> errorsByKind = new TreeMap<>();
        private long answered;
        private long late;
        private long missed;
    }
}
