package org.masticpaddle.admission;

import java.util.Map;
import java.util.Optional;

import org.masticpaddle.wire.Rank;

/**
 * Selects the waiting request that a full queue drops in favour of an arriving one.
 *
 * <p>An arriving request displaces one of a lower rank or, while its own rank is below its floor, one of any other
 * rank; each rank keeps its floor of the queue slots. Otherwise it displaces a request of its own rank whose
 * organisation has queued more work in proportion to its weight.
 */
final class Displacement {
    private Displacement() {}

    static Optional<WaitingRequest> selectVictim(
            WaitingRequest arriving, Map<Rank, RankQueue> ranks, FloorDeficits floors, int maxWaiting) {
        final Rank rank = arriving.rank();
        final boolean belowFloor = ranks.get(rank).size() < reservedSlots(rank, floors, maxWaiting);
        for (int ordinal = Rank.values().length - 1; ordinal >= 0; ordinal--) {
            final Rank candidateRank = Rank.values()[ordinal];
            final RankQueue queue = ranks.get(candidateRank);
            final boolean lowerRank = candidateRank.compareTo(rank) > 0;
            // A rank keeps its floor of the queue slots: without queued work it could not use its share of the service.
            final boolean aboveFloor = queue.size() > reservedSlots(candidateRank, floors, maxWaiting);
            if (candidateRank != rank && (lowerRank || belowFloor) && aboveFloor) {
                return queue.displacementCandidate();
            }
        }
        return selectFromSameRank(arriving, ranks.get(rank));
    }

    private static Optional<WaitingRequest> selectFromSameRank(WaitingRequest arriving, RankQueue queue) {
        final double arrivingFinishTime =
                queue.virtualFinishTime(arriving.organisation(), arriving.weight(), arriving.expectedTokens());
        return queue.displacementCandidate()
                .filter(victim -> !victim.organisation().equals(arriving.organisation()))
                .filter(victim ->
                        queue.virtualFinishTime(victim.organisation(), victim.weight(), -victim.expectedTokens())
                                >= arrivingFinishTime);
    }

    private static int reservedSlots(Rank rank, FloorDeficits floors, int maxWaiting) {
        return (int) Math.ceil(floors.floor(rank) * maxWaiting);
    }
}
