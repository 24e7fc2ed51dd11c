package org.masticpaddle.admission;

import java.util.Map;

import org.masticpaddle.wire.Rank;

/** Expected wait of a new request from the measured rate and the tokens that are served before it. */
final class WaitEstimate {
    /** Lower ranks without a floor still get an estimate, of a hundredth of the pool. */
    private static final double LEAST_SHARE = 0.01;

    private WaitEstimate() {}

    static long nanos(
            WaitingRequest request,
            Map<Rank, RankQueue> ranks,
            FloorLedger floors,
            double rate,
            Map<Rank, Double> admittedPerSecond) {
        final RankQueue own = ranks.get(request.rank());
        final double ahead = own.tokensAhead(request.organisation(), request.weight(), request.expectedTokens());
        double higherQueued = 0;
        double higherRate = 0;
        double lowerFloors = 0;
        for (final Map.Entry<Rank, RankQueue> entry : ranks.entrySet()) {
            final int order = entry.getKey().compareTo(request.rank());
            if (order < 0) {
                higherQueued += entry.getValue().queuedTokens();
                higherRate += admittedPerSecond.get(entry.getKey());
            } else if (order > 0 && entry.getValue().size() > 0) {
                lowerFloors += floors.floor(entry.getKey());
            }
        }
        final double floorRate = floors.floor(request.rank()) * rate;
        final double left = Math.max(rate * (1 - lowerFloors) - higherRate, LEAST_SHARE * rate);
        final double shared = ahead / Math.max(left, floorRate) + higherQueued / rate;
        final double seconds = floorRate > 0 ? Math.min(shared, ahead / floorRate) : shared;
        return (long) Math.min(seconds * 1e9, Long.MAX_VALUE / 4.0);
    }
}
