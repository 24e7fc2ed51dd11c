package org.masticpaddle.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.rollout.HealthBaseline;
import org.masticpaddle.rollout.ObservationSummary;
import org.masticpaddle.rollout.Observations;
import org.masticpaddle.rollout.RolloutEvidence;
import org.masticpaddle.rollout.RolloutState;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.routing.SessionShare;

/** One roll-out in virtual time over several entries that exchange summaries late. */
final class RolloutExperiment {
    static final VersionName OLD = new VersionName("m", "1");
    static final VersionName NEW = new VersionName("m", "2");

    private static final long STAGE_MILLIS = 600_000;
    private static final Rollout ROLLOUT =
            new Rollout("r", "m", "1", "2", List.of(0.01, 0.05, 0.25, 1.0), STAGE_MILLIS, Rollout.State.RUNNING);
    private static final long WARM_UP_MILLIS = 600_000;
    private static final long EXCHANGE_INTERVAL_MILLIS = 2_000;
    private static final long EXCHANGE_DELAY_MILLIS = 1_000;
    private static final long RATING_DELAY_MILLIS = 1_500;
    /** Mean number of requests in a session. */
    private static final int REQUESTS_PER_SESSION = 4;
    /** Share and length of the fixed stage of the baseline. */
    private static final double FIXED_STAGE_SHARE = 0.1;

    private static final long FIXED_STAGE_MILLIS = 600_000;

    private final double requestsPerSecond;
    private final Rates oldRates;
    private final Rates newRates;
    private final UniformRandomProvider random;
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Outcome> outcomes = new PriorityQueue<>();
    private final ArrayDeque<Delivery> deliveries = new ArrayDeque<>();
    private int exposedRequests;
    private int fixedStageRequests;

    RolloutExperiment(double requestsPerSecond, Rates oldRates, Rates newRates, int entries, long seed) {
        this.requestsPerSecond = requestsPerSecond;
        this.oldRates = oldRates;
        this.newRates = newRates;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < entries; index++) {
            this.entries.add(new Entry("e" + index));
        }
    }

    /**
     * True rates of a version.
     *
     * @param quality part of the answers rated 1, the others being rated 0
     * @param errors part of the requests that fail
     * @param slow part of the requests that are slow
     */
    record Rates(double quality, double errors, double slow) {}

    /**
     * Result of a roll-out.
     *
     * @param haltedEverywhere whether all entries stopped it
     * @param haltedAnywhere whether any entry stopped it
     * @param complete whether all sessions use the new version
     * @param exposedRequests requests that reached the new version
     * @param fixedStageRequests requests that a fixed stage of 10% and 10 minutes sends to it
     */
    record Result(boolean haltedEverywhere, boolean haltedAnywhere, boolean complete, int exposedRequests, int fixedStageRequests) {}

    /** Runs until the roll-out is halted everywhere, or complete and a stage older, or for the given time at most. */
    Result run(long stepMillis, long longest) {
        final long start = WARM_UP_MILLIS;
        double next = 0;
        boolean halted = false;
        boolean complete = false;
        for (long now = 0; now < start + longest; now += stepMillis) {
            for (; next < now + stepMillis; next += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond) {
                simulateRequest((long) next, next >= start, next - start < FIXED_STAGE_MILLIS);
            }
            final long end = now + stepMillis;
            while (!outcomes.isEmpty() && outcomes.peek().timeMillis <= end) {
                outcomes.poll().record();
            }
            exchangeSummaries(end);
            if (end >= start) {
                entries.forEach(entry -> entry.step(end));
                halted = entries.stream().allMatch(entry -> entry.state.halted());
                complete = entries.stream()
                        .allMatch(
                                entry -> entry.state.stage() == 3 && end - entry.state.stageStartedAt() > STAGE_MILLIS);
            }
            if (complete || halted && end > start + FIXED_STAGE_MILLIS) {
                break;
            }
        }
        final boolean any = entries.stream().anyMatch(entry -> entry.state.halted());
        return new Result(halted, any, complete, exposedRequests, fixedStageRequests);
    }

    private void simulateRequest(long at, boolean begun, boolean fixedStage) {
        final Entry entry = entries.get(random.nextInt(entries.size()));
        // Requests of about the same time share a session, so that a session has several.
        final String session = "s" + at / (REQUESTS_PER_SESSION * 1_000L) + "-" + random.nextInt((int) requestsPerSecond);
        final boolean isNew = begun && entry.routesToNew(session);
        if (isNew) {
            exposedRequests++;
        }
        if (begun && fixedStage && SessionShare.includes("fixed", session, FIXED_STAGE_SHARE)) {
            fixedStageRequests++;
        }
        final Rates rates = isNew ? newRates : oldRates;
        final boolean error = random.nextDouble() < rates.errors;
        final long end = at + 1_000 + random.nextInt(2_000);
        final VersionName version = isNew ? NEW : OLD;
        final boolean slow = random.nextDouble() < rates.slow;
        outcomes.add(new Outcome(end, () -> entry.observations.recordRequest(version, error, slow, end)));
        if (!error) {
            final double rating = random.nextDouble() < rates.quality ? 1 : 0;
            final long rated = end + RATING_DELAY_MILLIS;
            outcomes.add(new Outcome(rated, () -> entry.observations.recordRating(version, rating, rated)));
        }
    }

    private void exchangeSummaries(long now) {
        for (final Entry entry : entries) {
            if (now - entry.lastSentMillis >= EXCHANGE_INTERVAL_MILLIS) {
                entry.lastSentMillis = now;
                entry.observations
                        .takeSummary()
                        .ifPresent(summary -> deliveries.add(
                                new Delivery(now + EXCHANGE_DELAY_MILLIS, summary, entry.state, entry.health)));
            }
        }
        while (!deliveries.isEmpty() && deliveries.peek().timeMillis <= now) {
            final Delivery delivery = deliveries.poll();
            entries.forEach(entry -> entry.receive(delivery));
        }
    }

    private record Outcome(long timeMillis, Runnable observation) implements Comparable<Outcome> {
        private void record() {
            observation.run();
        }

        @Override
        public int compareTo(Outcome other) {
            return Long.compare(timeMillis, other.timeMillis);
        }
    }

    private record Delivery(long timeMillis, ObservationSummary summary, RolloutState state, VersionHealth health) {}

    /** One entry with its own observations and states. */
    private static final class Entry {
        private final Observations observations;
        private final ModelVersion declared = new ModelVersion(
                NEW, "llm", ModelVersion.State.ACTIVE, 1, 1, 0.88, Map.of(), 20, ModelVersion.SessionEnd.MOVE);
        private RolloutState state = RolloutState.initial("r", WARM_UP_MILLIS);
        private VersionHealth health = VersionHealth.initial(NEW, 0);
        private long lastSentMillis;

        private Entry(String id) {
            observations = new Observations(id);
        }

        private boolean routesToNew(String session) {
            return health.acceptsWork(session) && SessionShare.includes("r", session, state.share(ROLLOUT));
        }

        private void step(long now) {
            health = health.step(declared, observations, now);
            final HealthBaseline baseline =
                    HealthBaseline.of(observations.countsSince(OLD, 0), declared.quality(), declared.priorWeight());
            state = state.step(
                    ROLLOUT,
                    new RolloutEvidence(
                            observations.countsSince(NEW, state.startedAt()),
                            baseline,
                            health.phase() == VersionHealth.Phase.HEALTHY,
                            8,
                            8),
                    now);
        }

        private void receive(Delivery delivery) {
            observations.merge(delivery.summary);
            state = state.merge(delivery.state);
            health = health.merge(delivery.health);
        }
    }
}
