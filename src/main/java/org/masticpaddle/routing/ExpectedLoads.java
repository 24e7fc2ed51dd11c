package org.masticpaddle.routing;

import java.util.Collection;

import org.masticpaddle.fleet.UpstreamState;

/**
 * Loads of the upstreams of one service as one gateway expects them at one time.
 *
 * <p>Load pattern: with many gateways and upstreams most load reports are old. An upstream that was not heard of for some time is
 * expected to be as loaded as the others, not idle: if it counted as idle, the gateways would send most of their requests to the
 * upstreams that they know least about. For the same reason an upstream that is cold or paced, which every gateway sees idle, is
 * expected to be at least as loaded as the warm ones. Not thread-safe: used for one decision on the thread that owns the upstreams' states.
 */
final class ExpectedLoads {
    /** Weight of an idle upstream in the mean, so that upstreams that nothing is known of are tried. */
    private static final double IDLE_WEIGHT = 0.5;

    private final long now;
    private final double meanInFlight;
    private final double meanWaiting;
    /** Mean number of requests in flight at warm upstreams, those of this gateway included. */
    private final double meanAtWarm;

    /**
     * Computes the mean of the reports, each by its freshness.
     *
     * @param members upstreams of the service
     * @param now current time in nanoseconds
     */
    ExpectedLoads(Collection<UpstreamState> members, long now) {
        this.now = now;
        double weights = IDLE_WEIGHT;
        double inFlight = 0;
        double waiting = 0;
        int warm = 0;
        double ownAtWarm = 0;
        double weightsOfWarm = 0;
        double inFlightAtWarm = 0;
        for (final UpstreamState member : members) {
            final double weight = member.loadReport().freshness(now);
            weights += weight;
            inFlight += weight * member.loadReport().inFlightOfOtherGateways(now);
            waiting += weight * member.loadReport().waiting(now);
            if (settled(member)) {
                warm++;
                ownAtWarm += member.inFlight();
                weightsOfWarm += weight;
                inFlightAtWarm += weight * member.loadReport().inFlightOfOtherGateways(now);
            }
        }
        meanInFlight = inFlight / weights;
        meanWaiting = waiting / weights;
        meanAtWarm = ownAtWarm / Math.max(1, warm) + (weightsOfWarm > 0 ? inFlightAtWarm / weightsOfWarm : 0);
    }

    /** Returns the expected number of requests in flight from other gateways at an upstream. */
    double inFlightOfOtherGateways(UpstreamState member) {
        final double expected = expected(member, member.loadReport().inFlightOfOtherGateways(now), meanInFlight);
        return settled(member) ? expected : Math.max(expected, meanAtWarm - member.inFlight());
    }

    private boolean settled(UpstreamState member) {
        return !member.cold().cold(now) && !member.pace().active(now);
    }

    /** Returns the expected length of an upstream's queue. */
    double waiting(UpstreamState member) {
        return expected(member, member.loadReport().waiting(now), meanWaiting);
    }

    private double expected(UpstreamState member, int reported, double mean) {
        final double freshness = member.loadReport().freshness(now);
        return freshness * reported + (1 - freshness) * mean;
    }
}
