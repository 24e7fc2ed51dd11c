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

    private final long now;
    private final UpstreamSpeeds.Factors speeds;
    private final double meanLevel;

    /**
     * Computes the mean of the levels, each by how much is known of it.
     *
     * @param members upstreams of the service
     * @param learned whether learned speeds count
     * @param now current time in nanoseconds
     */
    ExpectedWork(Collection<UpstreamState> members, UpstreamSpeeds learned, long now) {
        this.now = now;
        speeds = learned.factors(members, now);
        double weights = 0;
        double levels = 0;
        for (final UpstreamState member : members) {
            final WorkPace pace = member.loadReport().workPace();
            final double weight = Math.min(1, pace.weight());
            weights += weight;
            levels += weight * pace.level();
        }
        meanLevel = weights == 0 ? 1 : levels / weights;
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
        return pace.weight() == 0
                ? meanLevel
                : (pace.weight() * pace.level() + MEAN_WEIGHT * meanLevel) / (pace.weight() + MEAN_WEIGHT);
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
