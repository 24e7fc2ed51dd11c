package org.masticpaddle.admission;

import java.util.Map;
import java.util.Optional;

import org.masticpaddle.wire.Rank;

/** Chooses the waiting request that loses its place in a full queue to a request of more value. */
final class Displacement {
    private Displacement() {}

    static Optional<WaitingRequest> choose(
            WaitingRequest arriving, Map<Rank, RankQueue> ranks, FloorLedger floors, int bound) {
        final Rank rank = arriving.rank();
        final boolean belowFloor = ranks.get(rank).size() < places(rank, floors, bound);
        for (int ordinal = Rank.values().length - 1; ordinal >= 0; ordinal--) {
            final Rank other = Rank.values()[ordinal];
            final RankQueue queue = ranks.get(other);
            final boolean lower = other.compareTo(rank) > 0;
            // A rank keeps its floor of the places, else it would have no work to use its share of the service.
            final boolean aboveFloor = queue.size() > places(other, floors, bound);
            if (other != rank && (lower || belowFloor) && aboveFloor) {
                return queue.leastValuable();
            }
        }
        return sameRank(arriving, ranks.get(rank));
    }

    private static Optional<WaitingRequest> sameRank(WaitingRequest arriving, RankQueue queue) {
        final double reach = queue.backlog(arriving.organisation(), arriving.weight(), arriving.expectedTokens());
        return queue.leastValuable()
                .filter(victim -> !victim.organisation().equals(arriving.organisation()))
                .filter(victim -> queue.backlog(victim.organisation(), victim.weight(), -victim.expectedTokens()) >= reach);
    }

    private static int places(Rank rank, FloorLedger floors, int bound) {
        return (int) Math.ceil(floors.floor(rank) * bound);
    }
}
