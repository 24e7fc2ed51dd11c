package org.masticpaddle.document;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;

import org.masticpaddle.wire.Hashing;

/**
 * Decides when an entry writes a snapshot: after a number of edits or a third of the retention. Entries are ordered by
 * rendezvous hash, and each waits longer than the one before it, so that usually a single entry writes. Immutable and
 * thread-safe.
 *
 * @param retention time for which the log keeps a record
 * @param timePerPosition additional age of the last snapshot that each position in the order waits for
 * @param editsPerPosition additional number of edits that each position in the order waits for
 */
public record SnapshotSchedule(Duration retention, Duration timePerPosition, int editsPerPosition) {
    private static final int EDITS_PER_SNAPSHOT = 500;
    /** Position from which on the delay no longer grows, so that a snapshot is written before the last one expires. */
    private static final int MAX_POSITION = 50;

    /** Checks the arguments. */
    public SnapshotSchedule {
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(timePerPosition, "timePerPosition is null");
    }

    /**
     * Returns the default schedule: each entry waits 2 s or 5 edits longer than the one before it in the order, and the
     * last one waits at most a third of the retention longer than the first.
     *
     * @param retention time for which the log keeps a record
     * @return schedule that adds 2 s per position, or less if the retention is below 300 s
     */
    public static SnapshotSchedule of(Duration retention) {
        final Duration maxTimePerPosition = retention.dividedBy(3L * MAX_POSITION);
        final Duration timePerPosition = Duration.ofSeconds(2);
        return new SnapshotSchedule(
                retention, timePerPosition.compareTo(maxTimePerPosition) < 0 ? timePerPosition : maxTimePerPosition, 5);
    }

    /**
     * Returns whether an entry must write a snapshot now.
     *
     * @param state state of the entry, at the end of the log
     * @param nowMillis current time in milliseconds since 1970
     * @param position position of the entry in the order, from 0 on
     * @return {@code true} if a snapshot is due
     */
    public boolean due(ConfigurationState state, long nowMillis, int position) {
        final SnapshotMark newestSnapshot = state.newestSnapshot();
        if (state.unknownRulesSeen() || state.recentOutcomes().isEmpty() || newestSnapshot.timeMillis() < 0) {
            return false;
        }
        final int delaySteps = Math.min(position, MAX_POSITION);
        final long edits = state.recentOutcomes().stream()
                .filter(outcome -> outcome.offset() >= newestSnapshot.upTo())
                .count();
        final long ageMillis = nowMillis - newestSnapshot.timeMillis();
        return edits >= EDITS_PER_SNAPSHOT + (long) delaySteps * editsPerPosition
                || ageMillis >= retention.toMillis() / 3 + delaySteps * timePerPosition.toMillis();
    }

    /**
     * Returns the position of an entry in the order for the next snapshot. The order changes with each snapshot.
     *
     * @param newestSnapshot newest snapshot on the log
     * @param self name of the entry
     * @param entries names of the known entries
     * @return number of other entries with a higher rendezvous hash
     */
    public static int position(SnapshotMark newestSnapshot, String self, Collection<String> entries) {
        final String key = "snapshot-" + newestSnapshot.upTo();
        final long ownWeight = Hashing.rendezvousWeight(key, self);
        return (int) entries.stream()
                .filter(entry -> Long.compareUnsigned(Hashing.rendezvousWeight(key, entry), ownWeight) > 0)
                .count();
    }
}
