package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.ModelVersion.SessionEnd;
import org.masticpaddle.document.ModelVersion.State;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.VersionPlan.Basis;
import org.masticpaddle.routing.VersionPlan.Reason;

/**
 * Chooses the cheapest allowed version whose lower quality bound meets the need and which answers in time.
 *
 * <p>Never chooses a version that is not allowed, is withdrawn or is stopped. A session keeps its version. Immutable
 * and thread-safe if the conditions are.
 */
public final class VersionSelector {
    /** Weight in exploration of a version that is unlikely to meet the need; above 0 so that none is forgotten. */
    private static final double UNLIKELY_WEIGHT = 0.05;

    private final CascadePolicy cascades;

    /**
     * Creates a choice.
     *
     * @param cascades when a cascade is worth while
     */
    public VersionSelector(CascadePolicy cascades) {
        this.cascades = Objects.requireNonNull(cascades, "cascades is null");
    }

    /**
     * Chooses a plan.
     *
     * @param document routing document in effect
     * @param request the request
     * @param conditions what is known about the versions
     * @param random random source, for exploration
     * @return the plan
     */
    public VersionPlan choose(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random) {
        if (request.binding().isPresent()) {
            return ofSession(
                    document, request, conditions, random, request.binding().get());
        }
        return ofNewWork(document, request, conditions, random, Optional.empty());
    }

    /**
     * Tells how each version fares for a request, without a choice and without side effects.
     *
     * @param document routing document in effect
     * @param request the request
     * @param conditions what is known about the versions
     * @return all declared versions, in the document's order
     */
    public List<VersionAssessment> assess(
            RoutingDocument document, VersionRequest request, VersionConditions conditions) {
        return document.versions().values().stream()
                .map(version -> {
                    final Candidate candidate = candidate(version, request, conditions);
                    return new VersionAssessment(
                            version,
                            obstacle(version, request, conditions),
                            staged(document, request, conditions, version),
                            candidate.quality,
                            candidate.micros,
                            candidate.millis);
                })
                .toList();
    }

    private VersionPlan ofSession(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random,
            VersionName bound) {
        if (!request.modelSelector().accepts(bound)) {
            return new VersionPlan.Refused(Reason.SESSION_HAS_OTHER_VERSION);
        }
        final ModelVersion version = document.versions().get(bound);
        if (version == null) {
            return new VersionPlan.Refused(Reason.SESSION_ENDED);
        }
        final boolean usable = version.state() == State.ACTIVE
                && request.organisation().allows(bound)
                && conditions.healthy(bound, request.stickyKey());
        if (usable) {
            final Candidate candidate = candidate(version, request, conditions);
            return candidate.millis > request.timeLeftMillis()
                    ? new VersionPlan.Refused(Reason.NOTHING_IN_TIME)
                    : single(candidate, Basis.SESSION, request);
        }
        return version.sessionEnd() == SessionEnd.REFUSE
                ? new VersionPlan.Refused(Reason.SESSION_ENDED)
                : ofNewWork(document, request, conditions, random, Optional.of(bound));
    }

    private VersionPlan ofNewWork(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random,
            Optional<VersionName> left) {
        final List<Candidate> candidates = new ArrayList<>();
        Reason reason = Reason.NOTHING_ALLOWED;
        for (final ModelVersion version : document.versions().values()) {
            final Optional<Reason> obstacle = obstacle(version, request, conditions);
            if (obstacle.isPresent()) {
                reason = obstacle.get().compareTo(reason) > 0 ? obstacle.get() : reason;
            } else if (!staged(document, request, conditions, version)) {
                final Candidate candidate = candidate(version, request, conditions);
                if (candidate.millis <= request.timeLeftMillis()) {
                    candidates.add(candidate);
                } else {
                    reason = Reason.NOTHING_IN_TIME;
                }
            }
        }
        if (candidates.isEmpty()) {
            return new VersionPlan.Refused(reason);
        }
        candidates.sort(Candidate.ORDER);
        final Candidate chosen = best(candidates, request.requiredQuality());
        if (left.isPresent()) {
            return single(chosen, Basis.SESSION_MOVED, request);
        }
        final boolean explores = !request.session()
                && conditions.ratingAvailable()
                && candidates.size() > 1
                && random.nextDouble() < request.organisation().explorationShare();
        if (explores) {
            return single(explored(candidates, chosen, request.requiredQuality(), random), Basis.EXPLORATION, request);
        }
        return staged(document, request, conditions, plan(candidates, chosen, request, conditions));
    }

    /** Returns why a version takes no new work of the request; of several versions, the last reason in the enum is told. */
    private static Optional<Reason> obstacle(
            ModelVersion version, VersionRequest request, VersionConditions conditions) {
        if (!request.modelSelector().accepts(version.name()) || !request.organisation().allows(version.name())) {
            return Optional.of(Reason.NOTHING_ALLOWED);
        }
        if (version.state() != State.ACTIVE) {
            return Optional.of(Reason.NOTHING_ACTIVE);
        }
        return conditions.healthy(version.name(), request.stickyKey())
                ? Optional.empty()
                : Optional.of(Reason.NOTHING_HEALTHY);
    }

    private static Candidate best(List<Candidate> candidates, double need) {
        return candidates.stream()
                .filter(candidate -> candidate.quality.lowerBound() >= need)
                .findFirst()
                .orElseGet(() -> candidates.stream()
                        .max(Comparator.comparingDouble(candidate -> candidate.quality.lowerBound()))
                        .orElseThrow());
    }

    private static Candidate explored(
            List<Candidate> candidates, Candidate chosen, double need, UniformRandomProvider random) {
        final List<Candidate> others = new ArrayList<>(candidates);
        others.remove(chosen);
        double left = random.nextDouble()
                * others.stream().mapToDouble(other -> weight(other, need)).sum();
        for (final Candidate other : others) {
            left -= weight(other, need);
            if (left < 0) {
                return other;
            }
        }
        return others.get(others.size() - 1);
    }

    private static double weight(Candidate candidate, double need) {
        return candidate.quality.upperBound() >= need ? 1 : UNLIKELY_WEIGHT;
    }

    private VersionPlan plan(
            List<Candidate> candidates, Candidate chosen, VersionRequest request, VersionConditions conditions) {
        final double limit = chosen.micros * cascades.largestCostShare();
        Candidate draft = null;
        double lowest = limit;
        if (request.idempotent() && !request.session()) {
            for (final Candidate other : candidates) {
                final double millis = other.millis + cascades.judgeMillis() + chosen.millis;
                final double cost = other.micros
                        + cascades.judgeMicros()
                        + (1 - conditions.acceptanceProbability(other.version, request.kind())) * chosen.micros;
                if (other != chosen
                        && conditions.ratingAvailable()
                        && millis <= request.timeLeftMillis()
                        && cost < lowest) {
                    lowest = cost;
                    draft = other;
                }
            }
        }
        if (draft == null) {
            return single(chosen, Basis.CHOSEN, request);
        }
        return new VersionPlan.Cascade(
                draft.version,
                chosen.version,
                request.requiredQuality(),
                chosen.quality.mean(),
                chosen.millis,
                chosen.quality.lowerBound() >= request.requiredQuality());
    }

    /** Tells whether a version comes only through the stages of a roll-out, its predecessor being usable. */
    private static boolean staged(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, ModelVersion version) {
        return !(request.modelSelector() instanceof ModelSelector.OfVersion)
                && rollouts(document, version.name().model())
                        .anyMatch(rollout -> rollout.to().equals(version.name().version())
                                && find(document, new VersionName(rollout.model(), rollout.from()))
                                        .filter(from -> obstacle(from, request, conditions)
                                                .isEmpty())
                                        .isPresent());
    }

    private static Optional<ModelVersion> find(RoutingDocument document, VersionName name) {
        return Optional.ofNullable(document.versions().get(name));
    }

    private VersionPlan staged(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, VersionPlan plan) {
        if (plan instanceof VersionPlan.Single one) {
            final Optional<ModelVersion> next = successor(document, request, conditions, one.version());
            return next.<VersionPlan>map(version -> new VersionPlan.Single(version, Basis.ROLLOUT, one.meetsRequiredQuality()))
                    .orElse(plan);
        }
        final VersionPlan.Cascade two = (VersionPlan.Cascade) plan;
        return new VersionPlan.Cascade(
                successor(document, request, conditions, two.draft()).orElse(two.draft()),
                successor(document, request, conditions, two.better()).orElse(two.better()),
                two.threshold(),
                two.betterQuality(),
                two.betterMillis(),
                two.meetsRequiredQuality());
    }

    private static Optional<ModelVersion> successor(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, ModelVersion version) {
        if (request.modelSelector() instanceof ModelSelector.OfVersion) {
            return Optional.empty();
        }
        return rollouts(document, version.name().model())
                .filter(rollout -> rollout.from().equals(version.name().version()))
                .filter(rollout ->
                        SessionShare.includes(rollout.name(), request.stickyKey(), conditions.rolloutShare(rollout)))
                .flatMap(rollout -> find(document, new VersionName(rollout.model(), rollout.to())).stream())
                .filter(next -> obstacle(next, request, conditions).isEmpty())
                .filter(next -> candidate(next, request, conditions).millis <= request.timeLeftMillis())
                .findFirst();
    }

    private static Stream<Rollout> rollouts(RoutingDocument document, String model) {
        return document.rollouts().values().stream()
                .filter(rollout -> rollout.model().equals(model))
                .sorted(Comparator.comparing(Rollout::name));
    }

    private static VersionPlan.Single single(Candidate candidate, Basis basis, VersionRequest request) {
        return new VersionPlan.Single(candidate.version, basis, candidate.quality.lowerBound() >= request.requiredQuality());
    }

    private static Candidate candidate(ModelVersion version, VersionRequest request, VersionConditions conditions) {
        return new Candidate(
                version,
                conditions.quality(version, request.kind()),
                version.priceMicros(request.promptTokens(), request.outputTokens()),
                conditions.expectedMillis(version.name(), request.promptTokens(), request.outputTokens()));
    }

    private record Candidate(ModelVersion version, QualityEstimate quality, long micros, double millis) {
        private static final Comparator<Candidate> ORDER = Comparator.comparingLong(Candidate::micros)
                .thenComparing(candidate -> candidate.version.name().toString());
    }
}
