package org.masticpaddle.routing;

import java.util.Collection;

import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.fleet.WorkPace;

/**
 * Factors of the time that work takes at the upstreams of one service, as one gateway expects them at one time.
 *
 * <p>Load pattern: the machines of a service are not equal, and each is slowed down for moments. An upstream of which little was
 * heard is expected to be as the others are. Invariant: all factors are exactly 1 while no upstream of the service reports one and
 * learned speeds are ignored. Not thread-safe: used for one decision on the thread that owns the upstreams' states.
 */
public final class ExpectedWork {
    /** Weight of the mean of the service in the level of an upstream, as a number of figures. */
    private static final double MEAN_WEIGHT = 0.5;

    /** Part of the logarithm of a reported level that other gateways answer for. */
    private static final double SHARED_KNOWLEDGE = 0.75;

    private final long now;
    private final UpstreamSpeeds.Factors speeds;
    private final double meanLevel;

    /**
     * Computes the geometric mean of the levels, each by how much is known of it.
     *
     * @param members upstreams of the service
     * @param learned whether learned speeds count while no upstream reports a work factor; they always do otherwise, since they
     *     hold what the reports leave unexplained
     * @param now current time in nanoseconds
     */
    ExpectedWork(Collection<UpstreamState> members, UpstreamSpeeds learned, long now) {
        this.now = now;
        double weights = 0;
        double logarithms = 0;
        for (final UpstreamState member : members) {
            final WorkPace pace = member.loadReport().workPace();
            final double weight = Math.min(1, pace.weight(now));
            weights += weight;
            logarithms += weight * Math.log(pace.level());
        }
        speeds = (weights == 0 ? learned : UpstreamSpeeds.LEARNED).factors(members, now);
        meanLevel = weights == 0 ? 1 : Math.exp(logarithms / weights);
    }

    /**
     * Computes the factors that the upstreams report, without learned speeds.
     *
     * @param members upstreams of the service
     * @param now current time in nanoseconds
     */
    public ExpectedWork(Collection<UpstreamState> members, long now) {
        this(members, UpstreamSpeeds.IGNORED, now);
    }

    /** Returns the factor of the time to the start of an answer, by the kind of work that it needs. */
    double startFactor(UpstreamState member, ObservedSpeed.Work work) {
        return factor(member) * speeds.factor(member, work);
    }

    /**
     * Returns by how much the level of an upstream is to be left out of its service time when upstreams are compared. All gateways
     * know the same upstreams to be fast, and each knows of few of the requests that the others have just sent there.
     */
    double sharedAdvantage(UpstreamState member) {
        return Math.pow(level(member), SHARED_KNOWLEDGE);
    }

    /** Returns the factor of the time between two events of a stream. */
    double eventFactor(UpstreamState member) {
        return level(member) * speeds.factor(member, ObservedSpeed.Work.STEP);
    }

    /**
     * Returns the mean factor that an upstream reports over some time.
     *
     * @param member upstream of the service
     * @return factor of the time that work takes at an upstream of usual speed
     */
    public double level(UpstreamState member) {
        final WorkPace pace = member.loadReport().workPace();
        final double weight = pace.weight(now);
        return weight == 0 ? meanLevel : (weight * pace.level() + MEAN_WEIGHT * meanLevel) / (weight + MEAN_WEIGHT);
    }

    /**
     * Returns the factor that an upstream reports, as it is expected at this time.
     *
     * @param member upstream of the service
     * @return factor of the time that work takes at an upstream of usual speed
     */
    public double factor(UpstreamState member) {
        return member.loadReport().workPace().factor(level(member), now);
    }
}
