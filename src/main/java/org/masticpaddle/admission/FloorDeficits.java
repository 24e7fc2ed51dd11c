package org.masticpaddle.admission;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.masticpaddle.wire.Rank;

/**
 * Deficit counters of the ranks' floors, the shares of the tokens that are guaranteed to them. A rank earns its share
 * of all tokens served while it has dispatchable work, and is charged for the tokens that it is served itself. Not
 * thread-safe.
 */
final class FloorDeficits {
    private final Map<Rank, Double> floors;
    private final Map<Rank, Double> deficits = new EnumMap<>(Rank.class);

    /** Keeps a reference to the map of floors, so that a change of the routing document takes effect at once. */
    FloorDeficits(Map<Rank, Double> floors) {
        this.floors = floors;
        for (final Rank rank : Rank.values()) {
            deficits.put(rank, 0.0);
        }
    }

    double floor(Rank rank) {
        return floors.getOrDefault(rank, 0.0);
    }

    /** Returns the rank with the largest deficit relative to its floor, empty if no rank has one. */
    Optional<Rank> mostUnderserved(Set<Rank> dispatchable) {
        Rank mostUnderserved = null;
        double largestDeficit = 0;
        for (final Rank rank : dispatchable) {
            final double deficit = floor(rank) > 0 ? deficits.get(rank) / floor(rank) : 0;
            if (deficit > largestDeficit) {
                largestDeficit = deficit;
                mostUnderserved = rank;
            }
        }
        return Optional.ofNullable(mostUnderserved);
    }

    void recordDispatch(Rank served, double tokens, Set<Rank> dispatchable) {
        for (final Rank rank : Rank.values()) {
            if (rank != served && !dispatchable.contains(rank)) {
                // A rank without work loses its deficit, else it would save up a burst.
                deficits.computeIfPresent(rank, (name, deficit) -> Math.min(0, deficit));
                continue;
            }
            final double previousDeficit = deficits.get(rank);
            final double chargedTokens = rank == served ? tokens : 0;
            final double newDeficit = previousDeficit + floor(rank) * tokens - chargedTokens;
            // Service beyond the floor is not charged to the rank, except for the request that pays off its
            // deficit.
            deficits.put(rank, Math.max(newDeficit, Math.min(previousDeficit, -chargedTokens)));
        }
    }

    /**
     * Applies the difference between the actual and the expected tokens of a completed request.
     *
     * @param rank rank of the request
     * @param tokens actual less expected tokens
     * @param reducedDeficit whether the request was dispatched to reduce the deficit of its rank
     * @param waiting ranks with waiting requests
     */
    void correctTokens(Rank rank, double tokens, boolean reducedDeficit, Set<Rank> waiting) {
        for (final Rank other : waiting) {
            deficits.merge(other, floor(other) * tokens, Double::sum);
        }
        final double previousDeficit = deficits.get(rank);
        final double newDeficit = previousDeficit - tokens;
        // A request served from spare capacity did not reduce a deficit, so its correction creates none.
        deficits.put(
                rank, reducedDeficit || tokens > 0 ? newDeficit : Math.min(newDeficit, Math.max(previousDeficit, 0)));
    }
}
