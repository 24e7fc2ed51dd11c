package org.masticpaddle.admission;

import java.util.Map;

import org.masticpaddle.wire.Rank;

/** Estimates the wait of a new request from the measured service rate and the tokens that are served before it. */
final class WaitEstimate {
    /**
     * Smallest fraction of the service rate that is assumed for a rank, so that a low rank without a floor gets a
     * finite estimate too.
     */
    private static final double MIN_RATE_FRACTION = 0.01;

    private WaitEstimate() {}

    static long waitNanos(
            WaitingRequest request,
            Map<Rank, RankQueue> ranks,
            FloorDeficits floors,
            double serviceRate,
            Map<Rank, Double> admittedPerSecond) {
        final RankQueue rankQueue = ranks.get(request.rank());
        final double tokensAhead =
                rankQueue.tokensAhead(request.organisation(), request.weight(), request.expectedTokens());
        double higherRankQueuedTokens = 0;
        double higherRankRate = 0;
        double lowerRankFloors = 0;
        for (final Map.Entry<Rank, RankQueue> entry : ranks.entrySet()) {
            final int rankOrder = entry.getKey().compareTo(request.rank());
            if (rankOrder < 0) {
                higherRankQueuedTokens += entry.getValue().queuedTokens();
                higherRankRate += admittedPerSecond.get(entry.getKey());
            } else if (rankOrder > 0 && entry.getValue().size() > 0) {
                lowerRankFloors += floors.floor(entry.getKey());
            }
        }
        final double floorRate = floors.floor(request.rank()) * serviceRate;
        final double remainingRate =
                Math.max(serviceRate * (1 - lowerRankFloors) - higherRankRate, MIN_RATE_FRACTION * serviceRate);
        final double sharedSeconds =
                tokensAhead / Math.max(remainingRate, floorRate) + higherRankQueuedTokens / serviceRate;
        final double seconds = floorRate > 0 ? Math.min(sharedSeconds, tokensAhead / floorRate) : sharedSeconds;
        return (long) Math.min(seconds * 1e9, Long.MAX_VALUE / 4.0);
    }
}
