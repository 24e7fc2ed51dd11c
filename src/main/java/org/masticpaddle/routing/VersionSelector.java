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
 * Selects the cheapest allowed version that is expected to answer in time and whose lower confidence bound of the
 * quality meets the required quality. If no version meets it, the one with the highest lower bound is selected.
 *
 * <p>Never selects a version that is not allowed, is withdrawn or is stopped. A session keeps its version while that
 * accepts requests. Immutable, and thread-safe if the {@link VersionConditions} are.
 */
public final class VersionSelector {
    /**
     * Exploration weight of a version that is unlikely to meet the required quality; above 0 so that it is still rated.
     */
    private static final double UNLIKELY_EXPLORATION_WEIGHT = 0.05;

    private final CascadePolicy cascadePolicy;

    /**
     * Creates a selector.
     *
     * @param cascadePolicy parameters that decide whether a cascade is worth its delay
     */
    public VersionSelector(CascadePolicy cascadePolicy) {
        this.cascadePolicy = Objects.requireNonNull(cascadePolicy, "cascadePolicy is null");
    }

    /**
     * Selects the plan for a request.
     *
     * @param document routing document in effect
     * @param request request to plan
     * @param conditions current estimates and health of the versions
     * @param random random source for exploration
     * @return plan, which rejects the request if no version can answer it
     */
    public VersionPlan choose(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random) {
        if (request.binding().isPresent()) {
            return planForSession(
                    document, request, conditions, random, request.binding().get());
        }
        return planForNewRequest(document, request, conditions, random, Optional.empty());
    }

    /**
     * Assesses each version for a request. Has no side effects.
     *
     * @param document routing document in effect
     * @param request request to assess the versions for
     * @param conditions current estimates and health of the versions
     * @return assessments of all declared versions, in the order of the document
     */
    public List<VersionAssessment> assess(
            RoutingDocument document, VersionRequest request, VersionConditions conditions) {
        return document.versions().values().stream()
                .map(version -> {
                    final Candidate candidate = candidate(version, request, conditions);
                    return new VersionAssessment(
                            version,
                            exclusionReason(version, request, conditions),
                            rolloutOnly(document, request, conditions, version),
                            candidate.quality,
                            candidate.priceMicros,
                            candidate.expectedMillis);
                })
                .toList();
    }

    private VersionPlan planForSession(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random,
            VersionName boundVersion) {
        if (!request.modelSelector().accepts(boundVersion)) {
            return new VersionPlan.Refused(Reason.SESSION_HAS_OTHER_VERSION);
        }
        final ModelVersion version = document.versions().get(boundVersion);
        if (version == null) {
            return new VersionPlan.Refused(Reason.SESSION_ENDED);
        }
        final boolean usable = version.state() == State.ACTIVE
                && request.organisation().allows(boundVersion)
                && conditions.healthy(boundVersion, request.stickyKey());
        if (usable) {
            final Candidate candidate = candidate(version, request, conditions);
            return candidate.expectedMillis > request.timeLeftMillis()
                    ? new VersionPlan.Refused(Reason.NOTHING_IN_TIME)
                    : singlePlan(candidate, Basis.SESSION, request);
        }
        return version.sessionEnd() == SessionEnd.REFUSE
                ? new VersionPlan.Refused(Reason.SESSION_ENDED)
                : planForNewRequest(document, request, conditions, random, Optional.of(boundVersion));
    }

    private VersionPlan planForNewRequest(
            RoutingDocument document,
            VersionRequest request,
            VersionConditions conditions,
            UniformRandomProvider random,
            Optional<VersionName> previousVersion) {
        final List<Candidate> candidates = new ArrayList<>();
        Reason reason = Reason.NOTHING_ALLOWED;
        for (final ModelVersion version : document.versions().values()) {
            final Optional<Reason> exclusion = exclusionReason(version, request, conditions);
            if (exclusion.isPresent()) {
                reason = exclusion.get().compareTo(reason) > 0 ? exclusion.get() : reason;
            } else if (!rolloutOnly(document, request, conditions, version)) {
                final Candidate candidate = candidate(version, request, conditions);
                if (candidate.expectedMillis <= request.timeLeftMillis()) {
                    candidates.add(candidate);
                } else {
                    reason = Reason.NOTHING_IN_TIME;
                }
            }
        }
        if (candidates.isEmpty()) {
            return new VersionPlan.Refused(reason);
        }
        candidates.sort(Candidate.CHEAPEST_FIRST);
        final Candidate chosen = cheapestSufficient(candidates, request.requiredQuality());
        if (previousVersion.isPresent()) {
            return singlePlan(chosen, Basis.SESSION_MOVED, request);
        }
        final boolean explore = !request.session()
                && conditions.ratingAvailable()
                && candidates.size() > 1
                && random.nextDouble() < request.organisation().explorationShare();
        if (explore) {
            return singlePlan(
                    drawForExploration(candidates, chosen, request.requiredQuality(), random),
                    Basis.EXPLORATION,
                    request);
        }
        return applyRollouts(document, request, conditions, singleOrCascade(candidates, chosen, request, conditions));
    }

    /** Returns the reason for which a version is excluded from new requests, or empty if it is a candidate. */
    private static Optional<Reason> exclusionReason(
            ModelVersion version, VersionRequest request, VersionConditions conditions) {
        if (!request.modelSelector().accepts(version.name())
                || !request.organisation().allows(version.name())) {
            return Optional.of(Reason.NOTHING_ALLOWED);
        }
        if (version.state() != State.ACTIVE) {
            return Optional.of(Reason.NOTHING_ACTIVE);
        }
        return conditions.healthy(version.name(), request.stickyKey())
                ? Optional.empty()
                : Optional.of(Reason.NOTHING_HEALTHY);
    }

    private static Candidate cheapestSufficient(List<Candidate> candidates, double requiredQuality) {
        return candidates.stream()
                .filter(candidate -> candidate.quality.lowerBound() >= requiredQuality)
                .findFirst()
                .orElseGet(() -> candidates.stream()
                        .max(Comparator.comparingDouble(candidate -> candidate.quality.lowerBound()))
                        .orElseThrow());
    }

    private static Candidate drawForExploration(
            List<Candidate> candidates, Candidate chosen, double requiredQuality, UniformRandomProvider random) {
        final List<Candidate> alternatives = new ArrayList<>(candidates);
        alternatives.remove(chosen);
        double remainingWeight = random.nextDouble()
                * alternatives.stream()
                        .mapToDouble(alternative -> explorationWeight(alternative, requiredQuality))
                        .sum();
        for (final Candidate alternative : alternatives) {
            remainingWeight -= explorationWeight(alternative, requiredQuality);
            if (remainingWeight < 0) {
                return alternative;
            }
        }
        return alternatives.get(alternatives.size() - 1);
    }

    private static double explorationWeight(Candidate candidate, double requiredQuality) {
        return candidate.quality.upperBound() >= requiredQuality ? 1 : UNLIKELY_EXPLORATION_WEIGHT;
    }

    private VersionPlan singleOrCascade(
            List<Candidate> candidates, Candidate chosen, VersionRequest request, VersionConditions conditions) {
        final double maxCostMicros = chosen.priceMicros * cascadePolicy.maxCostRatio();
        Candidate draft = null;
        double lowestCostMicros = maxCostMicros;
        if (request.idempotent() && !request.session()) {
            for (final Candidate draftCandidate : candidates) {
                final double cascadeMillis =
                        draftCandidate.expectedMillis + cascadePolicy.judgeMillis() + chosen.expectedMillis;
                final double costMicros = draftCandidate.priceMicros
                        + cascadePolicy.judgeCostMicros()
                        + (1 - conditions.acceptanceProbability(draftCandidate.version, request.kind()))
                                * chosen.priceMicros;
                if (draftCandidate != chosen
                        && conditions.ratingAvailable()
                        && cascadeMillis <= request.timeLeftMillis()
                        && costMicros < lowestCostMicros) {
                    lowestCostMicros = costMicros;
                    draft = draftCandidate;
                }
            }
        }
        if (draft == null) {
            return singlePlan(chosen, Basis.CHOSEN, request);
        }
        return new VersionPlan.Cascade(
                draft.version,
                chosen.version,
                request.requiredQuality(),
                chosen.quality.mean(),
                chosen.expectedMillis,
                chosen.quality.lowerBound() >= request.requiredQuality());
    }

    /**
     * Returns whether a version gets requests only through the stages of a rollout, since its predecessor is usable.
     */
    private static boolean rolloutOnly(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, ModelVersion version) {
        return !(request.modelSelector() instanceof ModelSelector.OfVersion)
                && rollouts(document, version.name().model())
                        .anyMatch(rollout -> rollout.to().equals(version.name().version())
                                && declaredVersion(document, new VersionName(rollout.model(), rollout.from()))
                                        .filter(from -> exclusionReason(from, request, conditions)
                                                .isEmpty())
                                        .isPresent());
    }

    private static Optional<ModelVersion> declaredVersion(RoutingDocument document, VersionName name) {
        return Optional.ofNullable(document.versions().get(name));
    }

    private VersionPlan applyRollouts(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, VersionPlan plan) {
        if (plan instanceof VersionPlan.Single single) {
            final Optional<ModelVersion> rolloutVersion =
                    rolloutTarget(document, request, conditions, single.version());
            return rolloutVersion
                    .<VersionPlan>map(
                            version -> new VersionPlan.Single(version, Basis.ROLLOUT, single.meetsRequiredQuality()))
                    .orElse(plan);
        }
        final VersionPlan.Cascade cascade = (VersionPlan.Cascade) plan;
        return new VersionPlan.Cascade(
                rolloutTarget(document, request, conditions, cascade.draft()).orElse(cascade.draft()),
                rolloutTarget(document, request, conditions, cascade.better()).orElse(cascade.better()),
                cascade.threshold(),
                cascade.betterQuality(),
                cascade.betterMillis(),
                cascade.meetsRequiredQuality());
    }

    private static Optional<ModelVersion> rolloutTarget(
            RoutingDocument document, VersionRequest request, VersionConditions conditions, ModelVersion version) {
        if (request.modelSelector() instanceof ModelSelector.OfVersion) {
            return Optional.empty();
        }
        return rollouts(document, version.name().model())
                .filter(rollout -> rollout.from().equals(version.name().version()))
                .filter(rollout ->
                        SessionShare.includes(rollout.name(), request.stickyKey(), conditions.rolloutShare(rollout)))
                .flatMap(rollout -> declaredVersion(document, new VersionName(rollout.model(), rollout.to())).stream())
                .filter(rolloutVersion ->
                        exclusionReason(rolloutVersion, request, conditions).isEmpty())
                .filter(rolloutVersion ->
                        candidate(rolloutVersion, request, conditions).expectedMillis <= request.timeLeftMillis())
                .findFirst();
    }

    private static Stream<Rollout> rollouts(RoutingDocument document, String model) {
        return document.rollouts().values().stream()
                .filter(rollout -> rollout.model().equals(model))
                .sorted(Comparator.comparing(Rollout::name));
    }

    private static VersionPlan.Single singlePlan(Candidate candidate, Basis basis, VersionRequest request) {
        return new VersionPlan.Single(
                candidate.version, basis, candidate.quality.lowerBound() >= request.requiredQuality());
    }

    private static Candidate candidate(ModelVersion version, VersionRequest request, VersionConditions conditions) {
        return new Candidate(
                version,
                conditions.quality(version, request.kind()),
                version.priceMicros(request.promptTokens(), request.outputTokens()),
                conditions.expectedMillis(version.name(), request.promptTokens(), request.outputTokens()));
    }

    private record Candidate(ModelVersion version, QualityEstimate quality, long priceMicros, double expectedMillis) {
        private static final Comparator<Candidate> CHEAPEST_FIRST = Comparator.comparingLong(Candidate::priceMicros)
                .thenComparing(candidate -> candidate.version.name().toString());
    }
}
