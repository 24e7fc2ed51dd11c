package org.masticpaddle.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.rollout.HealthBaseline;
import org.masticpaddle.rollout.Observations;
import org.masticpaddle.rollout.RolloutEvidence;
import org.masticpaddle.rollout.RolloutState;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.routing.QualityEstimate;
import org.masticpaddle.routing.QualityEstimates;
import org.masticpaddle.routing.VersionConditions;

/**
 * What this entry has learnt about versions: quality, latency, health and progress of roll-outs. Owned by the entry's
 * duty; not thread-safe.
 */
final class VersionTracker implements VersionConditions {
    private static final double SMOOTHING = 0.05;
    // Expected time of a version that has not answered yet: small, so that it is tried.
    private static final double INITIAL_MILLIS = 100;
    private static final double DRAFT_ACCEPTANCE = 0.5;

    private final QualityEstimates qualities;
    private final Observations observations;
    private final LongSupplier clock;
    private final Map<VersionName, Latency> latencies = new HashMap<>();
    private final Map<VersionName, VersionHealth> health = new HashMap<>();
    private final Map<String, RolloutState> rollouts = new HashMap<>();
    private final Map<String, Double> acceptance = new HashMap<>();
    private boolean ratingAvailable = true;

    VersionTracker(QualityEstimates qualities, Observations observations, LongSupplier clock) {
        this.qualities = qualities;
        this.observations = observations;
        this.clock = clock;
    }

    @Override
    public QualityEstimate quality(ModelVersion version, String kind) {
        return qualities.estimate(version, kind, clock.getAsLong());
    }

    @Override
    public double acceptanceProbability(ModelVersion draft, String kind) {
        return acceptance.getOrDefault(draft.name() + " " + kind, DRAFT_ACCEPTANCE);
    }

    @Override
    public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
        final Latency latency = latencies.get(version);
        return latency == null ? INITIAL_MILLIS : latency.firstMillis + latency.perTokenMillis * outputTokens;
    }

    @Override
    public boolean healthy(VersionName version, String stickyKey) {
        final VersionHealth known = health.get(version);
        return known == null || known.acceptsWork(stickyKey);
    }

    @Override
    public double rolloutShare(Rollout rollout) {
        final RolloutState state = rollouts.get(rollout.name());
        return state == null ? 0 : state.share(rollout);
    }

    @Override
    public boolean ratingAvailable() {
        return ratingAvailable;
    }

    /** The same knowledge without the health test, for requests that no healthy version may answer. */
    VersionConditions ignoringHealth() {
        return new VersionConditions() {
            @Override
            public QualityEstimate quality(ModelVersion version, String kind) {
                return VersionTracker.this.quality(version, kind);
            }

            @Override
            public double acceptanceProbability(ModelVersion draft, String kind) {
                return VersionTracker.this.acceptanceProbability(draft, kind);
            }

            @Override
            public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
                return VersionTracker.this.expectedMillis(version, promptTokens, outputTokens);
            }

            @Override
            public boolean healthy(VersionName version, String stickyKey) {
                return true;
            }

            @Override
            public double rolloutShare(Rollout rollout) {
                return 0;
            }

            @Override
            public boolean ratingAvailable() {
                return ratingAvailable;
            }
        };
    }

    /** Whether a roll-out from or to the version is declared, so that its latency is compared with another version's. */
    boolean inRollout(RoutingDocument document, VersionName version) {
        return document.rollouts().values().stream()
                .filter(rollout -> rollout.model().equals(version.model()))
                .anyMatch(rollout ->
                        rollout.from().equals(version.version()) || rollout.to().equals(version.version()));
    }

    void ratingAvailable(boolean available) {
        ratingAvailable = available;
    }

    void judged(ModelVersion draft, String kind, boolean accepted) {
        acceptance.merge(
                draft.name() + " " + kind,
                accepted ? 1.0 : 0.0,
                (known, sample) -> known + SMOOTHING * (sample - known));
    }

    void rated(VersionName version, String kind, double rating) {
        final long now = clock.getAsLong();
        qualities.record(version, kind, rating, now);
        observations.recordRating(version, rating, now);
    }

    void ended(VersionName version, boolean error, boolean slow) {
        observations.recordRequest(version, error, slow, clock.getAsLong());
    }

    void latency(VersionName version, double firstMillis, double totalMillis, int outputTokens) {
        final double perToken = Math.max(0, totalMillis - firstMillis) / Math.max(1, outputTokens);
        latencies
                .computeIfAbsent(version, name -> new Latency(firstMillis, perToken))
                .add(firstMillis, perToken);
    }

    /** Takes the next step of every health state and roll-out. */
    void step(RoutingDocument document, Upstreams upstreams) {
        final long now = clock.getAsLong();
        for (final ModelVersion version : document.versions().values()) {
            health.compute(
                    version.name(),
                    (name, known) -> (known == null ? VersionHealth.initial(name, now) : known)
                            .step(version, observations, now));
        }
        health.keySet().retainAll(document.versions().keySet());
        for (final Rollout rollout : document.rollouts().values()) {
            rollouts.compute(
                    rollout.name(),
                    (name, known) -> step(
                            known == null ? RolloutState.initial(name, now) : known,
                            rollout,
                            document,
                            upstreams,
                            now));
        }
        rollouts.keySet().retainAll(document.rollouts().keySet());
    }

    private RolloutState step(
            RolloutState state, Rollout rollout, RoutingDocument document, Upstreams upstreams, long now) {
        final ModelVersion from = document.versions().get(new VersionName(rollout.model(), rollout.from()));
        final ModelVersion to = document.versions().get(new VersionName(rollout.model(), rollout.to()));
        if (from == null || to == null) {
            return state;
        }
        final int[] loaded = upstreams.loaded(to.service(), to.name());
        final RolloutEvidence evidence = new RolloutEvidence(
                observations.countsSince(to.name(), state.startedAt()),
                HealthBaseline.of(
                        observations.countsSince(from.name(), 0), from.quality(), Math.max(1, from.priorWeight())),
                health.get(to.name()).phase() == VersionHealth.Phase.HEALTHY,
                loaded[0],
                loaded[1]);
        return state.step(rollout, evidence, now);
    }

    Map<String, RolloutState> rolloutStates() {
        return Map.copyOf(rollouts);
    }

    Map<VersionName, VersionHealth> healthStates() {
        return Map.copyOf(health);
    }

    /** Takes over what another entry has learnt. */
    void merge(EntrySummary summary) {
        final long now = clock.getAsLong();
        summary.qualities().forEach(quality -> qualities.merge(quality, now));
        summary.observations().forEach(observations::merge);
        summary.rollouts()
                .forEach(other -> rollouts.computeIfPresent(other.rollout(), (name, known) -> known.merge(other)));
        summary.versions()
                .forEach(other -> health.computeIfPresent(other.version(), (name, known) -> known.merge(other)));
    }

    QualityEstimates qualities() {
        return qualities;
    }

    Observations observations() {
        return observations;
    }

    private static final class Latency {
        private double firstMillis;
        private double perTokenMillis;

        Latency(double firstMillis, double perTokenMillis) {
            this.firstMillis = firstMillis;
            this.perTokenMillis = perTokenMillis;
        }

        void add(double first, double perToken) {
            firstMillis += SMOOTHING * (first - firstMillis);
            perTokenMillis += SMOOTHING * (perToken - perTokenMillis);
        }
    }
}
