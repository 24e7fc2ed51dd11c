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
 * Estimates of the quality and latency of versions, and the states of their health and rollouts, from the observations
 * of this entry and the summaries of the others. Owned by the entry's duty; not thread-safe.
 */
final class VersionTracker implements VersionConditions {
    private static final double SMOOTHING_FACTOR = 0.05;
    // Expected latency of a version that has not answered yet: low enough that the version is tried.
    private static final double INITIAL_LATENCY_MILLIS = 100;
    private static final double INITIAL_DRAFT_ACCEPTANCE = 0.5;

    private final QualityEstimates qualities;
    private final Observations observations;
    private final LongSupplier clock;
    private final Map<VersionName, Latency> latencies = new HashMap<>();
    private final Map<VersionName, VersionHealth> healthStates = new HashMap<>();
    private final Map<String, RolloutState> rolloutStates = new HashMap<>();
    private final Map<String, Double> draftAcceptance = new HashMap<>();
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
        return draftAcceptance.getOrDefault(draft.name() + " " + kind, INITIAL_DRAFT_ACCEPTANCE);
    }

    @Override
    public double expectedMillis(VersionName version, int promptTokens, int outputTokens) {
        final Latency latency = latencies.get(version);
        return latency == null
                ? INITIAL_LATENCY_MILLIS
                : latency.firstTokenMillis + latency.perTokenMillis * outputTokens;
    }

    @Override
    public boolean healthy(VersionName version, String stickyKey) {
        final VersionHealth state = healthStates.get(version);
        return state == null || state.acceptsWork(stickyKey);
    }

    @Override
    public double rolloutShare(Rollout rollout) {
        final RolloutState state = rolloutStates.get(rollout.name());
        return state == null ? 0 : state.share(rollout);
    }

    @Override
    public boolean ratingAvailable() {
        return ratingAvailable;
    }

    /**
     * The same conditions with every version healthy and no rollouts, for requests that no healthy version may answer.
     */
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

    /**
     * Whether a rollout from or to the version is declared, in which its latency is compared with the other version's.
     */
    boolean inRollout(RoutingDocument document, VersionName version) {
        return document.rollouts().values().stream()
                .filter(rollout -> rollout.model().equals(version.model()))
                .anyMatch(rollout ->
                        rollout.from().equals(version.version()) || rollout.to().equals(version.version()));
    }

    void setRatingAvailable(boolean available) {
        ratingAvailable = available;
    }

    /** Updates the probability that a draft is accepted, by exponential smoothing. */
    void recordDraftDecision(ModelVersion draft, String kind, boolean accepted) {
        draftAcceptance.merge(
                draft.name() + " " + kind,
                accepted ? 1.0 : 0.0,
                (average, sample) -> average + SMOOTHING_FACTOR * (sample - average));
    }

    void recordRating(VersionName version, String kind, double rating) {
        final long now = clock.getAsLong();
        qualities.record(version, kind, rating, now);
        observations.recordRating(version, rating, now);
    }

    /**
     * Records the end of an attempt for the health test.
     *
     * @param error whether the version answered with an error
     * @param slow whether the first token was late
     */
    void recordEnd(VersionName version, boolean error, boolean slow) {
        observations.recordRequest(version, error, slow, clock.getAsLong());
    }

    /** Updates the latency of the version by exponential smoothing. Times are in milliseconds from the dispatch. */
    void recordLatency(VersionName version, double firstTokenMillis, double totalMillis, int outputTokens) {
        final double perTokenMillis = Math.max(0, totalMillis - firstTokenMillis) / Math.max(1, outputTokens);
        latencies
                .computeIfAbsent(version, name -> new Latency(firstTokenMillis, perTokenMillis))
                .addSample(firstTokenMillis, perTokenMillis);
    }

    /**
     * Advances the health state of every declared version and the state of every rollout; drops those no longer
     * declared.
     */
    void updateStates(RoutingDocument document, Upstreams upstreams) {
        final long now = clock.getAsLong();
        for (final ModelVersion version : document.versions().values()) {
            healthStates.compute(
                    version.name(),
                    (name, current) -> (current == null ? VersionHealth.initial(name, now) : current)
                            .step(version, observations, now));
        }
        healthStates.keySet().retainAll(document.versions().keySet());
        for (final Rollout rollout : document.rollouts().values()) {
            rolloutStates.compute(
                    rollout.name(),
                    (name, current) -> advanceRollout(
                            current == null ? RolloutState.initial(name, now) : current,
                            rollout,
                            document,
                            upstreams,
                            now));
        }
        rolloutStates.keySet().retainAll(document.rollouts().keySet());
    }

    private RolloutState advanceRollout(
            RolloutState state, Rollout rollout, RoutingDocument document, Upstreams upstreams, long now) {
        final ModelVersion from = document.versions().get(new VersionName(rollout.model(), rollout.from()));
        final ModelVersion to = document.versions().get(new VersionName(rollout.model(), rollout.to()));
        if (from == null || to == null) {
            return state;
        }
        final int[] loadedAndReady = upstreams.countLoadedAndReady(to.service(), to.name());
        final RolloutEvidence evidence = new RolloutEvidence(
                observations.countsSince(to.name(), state.startedAt()),
                HealthBaseline.of(
                        observations.countsSince(from.name(), 0), from.quality(), Math.max(1, from.priorWeight())),
                healthStates.get(to.name()).phase() == VersionHealth.Phase.HEALTHY,
                loadedAndReady[0],
                loadedAndReady[1]);
        return state.step(rollout, evidence, now);
    }

    Map<String, RolloutState> rolloutStates() {
        return Map.copyOf(rolloutStates);
    }

    Map<VersionName, VersionHealth> healthStates() {
        return Map.copyOf(healthStates);
    }

    /** Merges the summary of another entry. */
    void merge(EntrySummary summary) {
        final long now = clock.getAsLong();
        summary.qualities().forEach(quality -> qualities.merge(quality, now));
        summary.observations().forEach(observations::merge);
        summary.rollouts()
                .forEach(other ->
                        rolloutStates.computeIfPresent(other.rollout(), (name, current) -> current.merge(other)));
        summary.versions()
                .forEach(other ->
                        healthStates.computeIfPresent(other.version(), (name, current) -> current.merge(other)));
    }

    QualityEstimates qualities() {
        return qualities;
    }

    Observations observations() {
        return observations;
    }

    private static final class Latency {
        private double firstTokenMillis;
        private double perTokenMillis;

        Latency(double firstTokenMillis, double perTokenMillis) {
            this.firstTokenMillis = firstTokenMillis;
            this.perTokenMillis = perTokenMillis;
        }

        void addSample(double firstTokenSample, double perTokenSample) {
            firstTokenMillis += SMOOTHING_FACTOR * (firstTokenSample - firstTokenMillis);
            perTokenMillis += SMOOTHING_FACTOR * (perTokenSample - perTokenMillis);
        }
    }
}
