package org.masticpaddle.document;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;

import org.masticpaddle.wire.Hashing;

/**
 * Rule for when an entry writes a snapshot. Immutable and thread-safe.
 *
 * @param retention time for which the log keeps a record
 * @param stepTime time by which each entry lets those before it in the order go first
 * @param stepEdits number of edits by which each entry lets those before it in the order go first
 */
public record SnapshotSchedule(Duration retention, Duration stepTime, int stepEdits) {
    private static final int EDITS = 500;
    /** Ranks beyond this one share its delay, so that a snapshot is written while the older one is retained. */
    private static final int LAST_RANK = 50;

    /** Checks the arguments. */
    public SnapshotSchedule {
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(stepTime, "stepTime is null");
    }

    /**
     * Returns the usual schedule: each entry waits 2 s or 5 edits longer than the one before it in the order, and at
     * most a third of the retention longer than the first.
     *
     * @param retention time for which the log keeps a record
     * @return the schedule
     */
    public static SnapshotSchedule of(Duration retention) {
        final Duration most = retention.dividedBy(3L * LAST_RANK);
        final Duration step = Duration.ofSeconds(2);
        return new SnapshotSchedule(retention, step.compareTo(most) < 0 ? step : most, 5);
    }

    /**
     * Tells whether an entry writes a snapshot now.
     *
     * @param fold its state, read to the end of the log
     * @param nowMillis time, in milliseconds since 1970
     * @param rank place of the entry in the order, from 0 on
     * @return {@code true} if a snapshot is due
     */
    public boolean due(ConfigurationState fold, long nowMillis, int rank) {
        final SnapshotMark mark = fold.newestSnapshot();
        if (fold.outdated() || fold.recent().isEmpty() || mark.timeMillis() < 0) {
            return false;
        }
        final int place = Math.min(rank, LAST_RANK);
        final long edits = fold.recent().stream()
                .filter(outcome -> outcome.offset() >= mark.upTo())
                .count();
        final long age = nowMillis - mark.timeMillis();
        return edits >= EDITS + (long) place * stepEdits
                || age >= retention.toMillis() / 3 + place * stepTime.toMillis();
    }

    /**
     * Returns the place of an entry in the order for the next snapshot. The order differs from snapshot to snapshot.
     *
     * @param mark newest snapshot
     * @param self name of the entry
     * @param entries names of the entries known
     * @return number of other entries that go first
     */
    public static int rank(SnapshotMark mark, String self, Collection<String> entries) {
        final String key = "snapshot-" + mark.upTo();
        final long own = Hashing.rendezvousWeight(key, self);
        return (int) entries.stream()
                .filter(entry -> Long.compareUnsigned(Hashing.rendezvousWeight(key, entry), own) > 0)
                .count();
    }
}
