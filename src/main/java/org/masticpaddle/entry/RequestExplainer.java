package org.masticpaddle.entry;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.rollout.VersionHealth;
import org.masticpaddle.routing.ModelSelector;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.VersionAssessment;
import org.masticpaddle.routing.VersionPlan;
import org.masticpaddle.routing.VersionRequest;
import org.masticpaddle.routing.VersionSelector;

/**
 * Explains how the entry would route a request now, with the code that routes requests but without side effects on
 * queues, limits, sessions or the random source. All methods run on the entry's duty.
 */
final class RequestExplainer {
    // Always returns the highest number, so that no version is explored; the summary states the exploration share.
    private static final UniformRandomProvider NO_EXPLORATION = () -> -1L;
    private static final String STICKY_KEY = "explained-request";

    private final EntryContext context;
    private final String instance;
    private final Supplier<Optional<EffectiveConfiguration>> configuration;
    private final VersionSelector versionSelector;
    private final VersionTracker versionTracker;
    private final Upstreams upstreams;

    RequestExplainer(
            EntryContext context,
            String instance,
            Supplier<Optional<EffectiveConfiguration>> configuration,
            VersionSelector versionSelector,
            VersionTracker versionTracker,
            Upstreams upstreams) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.instance = Objects.requireNonNull(instance, "instance is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.versionSelector = Objects.requireNonNull(versionSelector, "versionSelector is null");
        this.versionTracker = Objects.requireNonNull(versionTracker, "versionTracker is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    }

    /**
     * Explains how a request would be routed.
     *
     * @throws CallerErrorException if no document is in effect or the organisation is unknown
     */
    Explanation explain(ExplainQuery query, Optional<SessionBinding> binding) {
        final EffectiveConfiguration current = configuration
                .get()
                .orElseThrow(() -> new CallerErrorException(
                        CallerError.notRun(CallerError.Kind.NOT_READY, "no routing document is in effect yet")));
        final RoutingDocument document = current.document();
        final Organisation organisation = Optional.ofNullable(
                        document.organisations().get(query.organisation()))
                .orElseThrow(() -> new CallerErrorException(CallerError.notRun(
                        CallerError.Kind.NOT_FOUND, "there is no organisation \"" + query.organisation() + "\"")));
        final VersionRequest request = versionRequest(query, organisation, document, binding);
        final VersionPlan plan = versionSelector.choose(document, request, versionTracker, NO_EXPLORATION);
        final Optional<ModelVersion> first = firstVersion(plan);
        final String service = first.map(ModelVersion::service).orElse("");
        return new Explanation(
                instance,
                current.revision(),
                request.requiredQuality(),
                request.timeLeftMillis(),
                binding.map(bound -> bound.version().toString()).orElse(""),
                versionSelector.assess(document, request, versionTracker).stream()
                        .map(assessment -> candidate(document, request, assessment))
                        .toList(),
                plan.getClass().getSimpleName().toLowerCase(Locale.ROOT),
                summary(plan, request),
                service,
                upstreams.inFlight(service),
                upstreams.concurrencyLimiter(service).limit(),
                first.map(version -> upstreams.scores(
                                service,
                                new UpstreamRequest(version.name(), new long[0], 0, Optional.empty()),
                                context.nowMillis()))
                        .orElse(List.of()));
    }

    private static VersionRequest versionRequest(
            ExplainQuery query, Organisation organisation, RoutingDocument document, Optional<SessionBinding> binding) {
        final long timeoutMillis = document.policy(query.rank()).timeoutMillis();
        return new VersionRequest(
                organisation,
                query.kind(),
                ModelSelector.parse(query.model()),
                query.quality() == null ? OptionalDouble.empty() : OptionalDouble.of(query.quality()),
                query.idempotent(),
                query.promptTokens(),
                query.outputTokens(),
                query.deadlineMillis() == null ? timeoutMillis : Math.min(query.deadlineMillis(), timeoutMillis),
                binding.map(SessionBinding::session)
                        .or(() -> Optional.ofNullable(query.session()))
                        .orElse(STICKY_KEY),
                query.session() != null,
                binding.map(SessionBinding::version));
    }

    private Explanation.Candidate candidate(
            RoutingDocument document, VersionRequest request, VersionAssessment assessment) {
        final VersionName name = assessment.version().name();
        final double share = document.rollouts().values().stream()
                .filter(rollout ->
                        rollout.model().equals(name.model()) && rollout.to().equals(name.version()))
                .mapToDouble(versionTracker::rolloutShare)
                .max()
                .orElse(-1);
        return new Explanation.Candidate(
                name.toString(),
                verdict(request, assessment),
                assessment.priceMicros(),
                assessment.quality().mean(),
                assessment.quality().lowerBound(),
                assessment.millis(),
                Optional.ofNullable(versionTracker.healthStates().get(name))
                        .map(VersionHealth::phase)
                        .orElse(VersionHealth.Phase.HEALTHY)
                        .name()
                        .toLowerCase(Locale.ROOT),
                share);
    }

    private static String verdict(VersionRequest request, VersionAssessment assessment) {
        if (assessment.exclusionReason().isPresent()) {
            return switch (assessment.exclusionReason().get()) {
                case NOTHING_ALLOWED -> "not allowed, or not asked for";
                case NOTHING_ACTIVE -> "withdrawn";
                case NOTHING_HEALTHY -> "stopped by the health test, or on probation without this request";
                default -> assessment.exclusionReason().get().name().toLowerCase(Locale.ROOT);
            };
        }
        if (assessment.millis() > request.timeLeftMillis()) {
            return "too slow for the deadline";
        }
        if (assessment.rolloutOnly()) {
            return "only by the stages of its roll-out";
        }
        return assessment.quality().lowerBound() >= request.requiredQuality()
                ? "meets the need"
                : "below the quality needed";
    }

    private static Optional<ModelVersion> firstVersion(VersionPlan plan) {
        if (plan instanceof VersionPlan.Single single) {
            return Optional.of(single.version());
        }
        return plan instanceof VersionPlan.Cascade cascade ? Optional.of(cascade.draft()) : Optional.empty();
    }

    private static String summary(VersionPlan plan, VersionRequest request) {
        if (plan instanceof VersionPlan.Refused refused) {
            return "refused: " + CallerErrorMapper.map(refused.reason()).message();
        }
        final double explorationShare = request.session() || request.binding().isPresent()
                ? 0
                : request.organisation().explorationShare();
        final String explorationNote = explorationShare > 0
                ? "; a share of at most " + explorationShare + " goes to other allowed versions to learn about them"
                : "";
        if (plan instanceof VersionPlan.Cascade cascade) {
            return "draft on " + cascade.draft().name() + ", deliver it if its rating is at least "
                    + cascade.threshold() + ", else continue on "
                    + cascade.better().name() + explorationNote;
        }
        final VersionPlan.Single single = (VersionPlan.Single) plan;
        final String reason =
                switch (single.basis()) {
                    case CHOSEN ->
                        single.meetsRequiredQuality()
                                ? "the cheapest that meets the quality needed"
                                : "no version meets the quality needed; it has the highest quality bound";
                    case SESSION -> "the session is bound to it";
                    case SESSION_MOVED -> "the session's version takes no more work and the session may move";
                    case EXPLORATION -> "explored";
                    case ROLLOUT -> "the stage of a roll-out includes this request";
                };
        return "run on " + single.version().name() + ": " + reason + explorationNote;
    }
}
