package org.masticpaddle.routing;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Replays in virtual time engines of unequal speed, 15% of which are slowed down by a factor of 2.5 in each interval of 600 ms,
 * and a gateway that hears of them now and then. Not thread-safe.
 */
final class WorkPaceReplay {
    private static final double[] SPEEDS = {0.6, 1, 1.6};
    private static final double SLOWDOWN = 2.5;
    private static final double SLOWED_SHARE = 0.15;
    private static final long CHANGE_MILLIS = 600;
    private static final int ENGINES = 27;
    /** Engines among which one request can choose, as the others are loaded or lack its prompt. */
    private static final int CANDIDATES = 4;

    private static final long TICK_MILLIS = 20;
    private static final long WARM_UP_MILLIS = 30_000;

    private final UniformRandomProvider random;
    private final UpstreamRegistry registry = new UpstreamRegistry(0);
    private final double[] newest = new double[ENGINES];
    private final boolean[] slowed = new boolean[ENGINES];
    private final List<UpstreamState> engines;
    private final double reportChance;
    private final Deque<double[]> measured = new ArrayDeque<>();
    private final long delayMillis;

    /**
     * Creates a service.
     *
     * @param meanAgeMillis mean time between two figures of an engine
     * @param delayMillis time after which a figure arrives
     * @param seed seed of the random source
     */
    WorkPaceReplay(double meanAgeMillis, long delayMillis, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.delayMillis = delayMillis;
        reportChance = TICK_MILLIS / (meanAgeMillis + TICK_MILLIS);
        Arrays.fill(newest, 1);
        engines = IntStream.range(0, ENGINES)
                .mapToObj(index -> {
                    registry.applyEntry(
                            new Upstream("" + index, "s", URI.create("http://127.0.0.1:1"), "d", "v", 8, false, 1, 0),
                            0);
                    return registry.find("" + index).orElseThrow();
                })
                .toList();
    }

    /** Returns the estimate of a policy that trusts the newest figure, however old. */
    double newest(UpstreamState engine) {
        return newest[index(engine)];
    }

    /**
     * Places one request each tick.
     *
     * @param policy creates the estimates of one decision, lower is better
     * @return mean time that the requests took, relative to the usual time
     */
    double meanTime(long durationMillis, Policy policy) {
        final List<Double> times = new ArrayList<>();
        for (long millis = 0; millis < durationMillis; millis += TICK_MILLIS) {
            final long now = millis * 1_000_000L;
            if (millis % CHANGE_MILLIS == 0) {
                IntStream.range(0, ENGINES).forEach(index -> slowed[index] = random.nextDouble() < SLOWED_SHARE);
            }
            final ToDoubleFunction<UpstreamState> estimate = policy.estimate(engines, now);
            final UpstreamState chosen = random.ints(0, ENGINES)
                    .distinct()
                    .limit(CANDIDATES)
                    .mapToObj(engines::get)
                    .min(Comparator.comparingDouble(estimate))
                    .orElseThrow();
            if (millis >= WARM_UP_MILLIS) {
                times.add(factor(index(chosen)));
            }
            measured.add(IntStream.range(0, ENGINES).mapToDouble(this::factor).toArray());
            if (millis >= delayMillis) {
                report(measured.remove(), now - delayMillis * 1_000_000L);
            }
        }
        return times.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }

    private void report(double[] factors, long measuredNanos) {
        for (final UpstreamState engine : engines) {
            if (random.nextDouble() < reportChance) {
                newest[index(engine)] = factors[index(engine)];
                engine.onReport(SelfReports.workFactor(factors[index(engine)]), true, false, measuredNanos);
            }
        }
    }

    private static int index(UpstreamState engine) {
        return Integer.parseInt(engine.upstream().id());
    }

    private double factor(int index) {
        return SPEEDS[index % SPEEDS.length] * (slowed[index] ? SLOWDOWN : 1);
    }

    /** Estimates the factors of engines. */
    interface Policy {
        ToDoubleFunction<UpstreamState> estimate(List<UpstreamState> engines, long now);
    }
}
