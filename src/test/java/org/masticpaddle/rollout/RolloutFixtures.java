package org.masticpaddle.rollout;

import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.VersionName;

/** Rollouts, versions and random observations for the tests of this package. */
final class RolloutFixtures {
    static final VersionName OLD = new VersionName("m", "1");
    static final VersionName NEW = new VersionName("m", "2");
    static final HealthBaseline BASELINE = HealthBaseline.of(new HealthCounts(5_000, 50, 250, 5_000, 4_500), 0.9, 20);

    private RolloutFixtures() {}

    static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    static ModelVersion version(VersionName name) {
        return new ModelVersion(
                name, "llm", ModelVersion.State.ACTIVE, 1, 1, 0.9, Map.of(), 20, ModelVersion.SessionEnd.MOVE);
    }

    static Rollout rollout(Rollout.State state) {
        return new Rollout("r", "m", "1", "2", List.of(0.01, 0.1, 0.5, 1.0), 60_000, state);
    }

    /** Draws the counts of requests that are all rated, with the given rates of good ratings, errors and slow answers. */
    static HealthCounts sampleCounts(
            UniformRandomProvider random, int requests, double quality, double errorRate, double slowRate) {
        HealthCounts counts = HealthCounts.NONE;
        for (int index = 0; index < requests; index++) {
            counts = counts.plus(new HealthCounts(
                    1,
                    random.nextDouble() < errorRate ? 1 : 0,
                    random.nextDouble() < slowRate ? 1 : 0,
                    1,
                    random.nextDouble() < quality ? 1 : 0));
        }
        return counts;
    }

    static RolloutEvidence evidence(HealthCounts counts) {
        return new RolloutEvidence(counts, BASELINE, true, 10, 10);
    }

    static HealthCounts healthyCounts() {
        return new HealthCounts(1_000, 8, 40, 1_000, 905);
    }

    static HealthCounts badCounts() {
        return new HealthCounts(100, 1, 5, 100, 40);
    }
}
