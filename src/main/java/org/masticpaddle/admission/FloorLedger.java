package org.masticpaddle.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.masticpaddle.wire.Rank;

/**
 * Counts the tokens that each rank is owed under its floor: it earns its floor of all tokens served while it has
 * dispatchable work, and pays for the tokens it is served. Not thread-safe.
 */
final class FloorLedger {
    private final Map<Rank, Double> floors;
    private final Map<Rank, Double> owed = new EnumMap<>(Rank.class);

    /** Keeps the map, so that a change of the routing document takes effect at once. */
    FloorLedger(Map<Rank, Double> floors) {
        this.floors = floors;
        for (final Rank rank : Rank.values()) {
            owed.put(rank, 0.0);
        }
    }

    double floor(Rank rank) {
        return floors.getOrDefault(rank, 0.0);
    }

    /** Finds the rank with work that is owed most, measured against its floor. */
    Optional<Rank> due(Set<Rank> dispatchable) {
        Rank best = null;
        double most = 0;
        for (final Rank rank : dispatchable) {
            final double debt = floor(rank) > 0 ? owed.get(rank) / floor(rank) : 0;
            if (debt > most) {
                most = debt;
                best = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    void served(Rank served, double tokens, Set<Rank> dispatchable) {
        for (final Rank rank : Rank.values()) {
            if (rank != served && !dispatchable.contains(rank)) {
                // A rank without work has no claim; keeping one would let it save up a burst.
                owed.computeIfPresent(rank, (name, debt) -> Math.min(0, debt));
                continue;
            }
            final double before = owed.get(rank);
            final double paid = rank == served ? tokens : 0;
            final double after = before + floor(rank) * tokens - paid;
            // Service beyond the floor is not held against the rank, except for the request that settled its claim.
            owed.put(rank, Math.max(after, Math.min(before, -paid)));
        }
    }

    /** Applies the difference between real and expected tokens of a request that was served before. */
    void corrected(Rank rank, double tokens, boolean claimed, Set<Rank> waiting) {
        for (final Rank other : waiting) {
            owed.merge(other, floor(other) * tokens, Double::sum);
        }
        final double before = owed.get(rank);
        final double after = before - tokens;
        // A request served from spare capacity earned no claim, so its correction creates none.
        owed.put(rank, claimed || tokens > 0 ? after : Math.min(after, Math.max(before, 0)));
    }
}
