package org.masticpaddle.routing;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Speeds of the upstreams of one service as one gateway expects them at one time, by the answers that it got.
 *
 * <p>Load pattern: a gateway sees few answers of each of many engines. What little is known of one kind of work at an upstream is
 * completed by the other kinds, since they run on the same machine, and the rest by the mean of the service. Not thread-safe: used for
 * one decision on the thread that owns the upstreams' states.
 */
final class LearnedSpeeds implements UpstreamSpeeds.Factors {
    /** Weight of what is assumed where nothing was observed, as a number of observations. */
    private static final double PRIOR_WEIGHT = 2;

    private final long now;
    private final Map<ObservedSpeed.Work, Double> serviceLevels = new EnumMap<>(ObservedSpeed.Work.class);

    /**
     * Computes the mean of the levels, each by how much is known of it.
     *
     * @param members upstreams of the service
     * @param now current time in nanoseconds
     */
    LearnedSpeeds(Collection<UpstreamState> members, long now) {
        this.now = now;
        for (final ObservedSpeed.Work work : ObservedSpeed.Work.values()) {
            double weights = 0;
            double levels = 0;
            for (final UpstreamState member : members) {
                final ObservedSpeed speed = member.performance().speed();
                final double weight = speed.weight(work, now);
                weights += weight;
                levels += weight * speed.level(work);
            }
            serviceLevels.put(work, weights == 0 ? 0 : levels / weights);
        }
    }

    @Override
    public double factor(UpstreamState member, ObservedSpeed.Work work) {
        final ObservedSpeed speed = member.performance().speed();
        double weights = PRIOR_WEIGHT;
        double deviations = 0;
        for (final ObservedSpeed.Work each : ObservedSpeed.Work.values()) {
            weights += speed.weight(each, now);
            deviations += speed.weight(each, now) * deviation(speed, each);
        }
        final double weight = speed.weight(work, now);
        return Math.exp(
                (weight * deviation(speed, work) + PRIOR_WEIGHT * deviations / weights) / (weight + PRIOR_WEIGHT));
    }

    private double deviation(ObservedSpeed speed, ObservedSpeed.Work work) {
        return speed.level(work) - serviceLevels.get(work);
    }
}
