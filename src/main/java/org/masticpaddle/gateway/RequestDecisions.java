package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.masticpaddle.decisions.Decision;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.ReportChange;
import org.masticpaddle.fleet.SelfReport;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routing.DraftDecision;
import org.masticpaddle.routing.UpstreamPlacement;

/** Writes the decisions about one request to the decision log, with their inputs. Used on the event loop only. */
final class RequestDecisions {
    private final GatewayContext context;
    private final AdmittedRequest admitted;

    RequestDecisions(GatewayContext context, AdmittedRequest admitted) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
    }

    /**
     * What was done for a request. Immutable.
     *
     * @param attempts number of attempts that were sent
     * @param lastAttempt last of them, empty if there was none
     * @param model name of the last model, empty for plain services
     * @param events number of events that were relayed, empty if no stream began
     */
    record Work(int attempts, Optional<Attempt> lastAttempt, String model, Optional<Integer> events) {}

    /** Writes that an attempt is sent, after it was assigned to its upstream. */
    void sent(
            UpstreamPlacement.Choice choice,
            VersionRouter.EligibleUpstreams eligible,
            String model,
            int attempt,
            OptionalLong resumeAfterEvent,
            long remainingMillis) {
        final UpstreamState upstream = choice.member();
        final InboundRequest request = admitted.request();
        final int level = context.urgencyOrder().within(admitted);
        if (upstream.cold().cold(now())) {
            context.counters().add(GatewayCounters.Counter.SENT_COLD);
        }
        context.log()
                .write(
                        Decision.REQUEST_SENT,
                        "request",
                        request.id(),
                        "route",
                        admitted.route().name(),
                        "organisation",
                        admitted.keyOwner().map(KeyOwner::organisation).orElse(null),
                        "session",
                        request.session().orElse(null),
                        "upstream",
                        upstream.upstream().id(),
                        "version",
                        upstream.upstream().version(),
                        "assignment",
                        eligible.assignment(),
                        "preferred",
                        eligible.preferred().test(upstream.upstream()),
                        "share",
                        eligible.share(),
                        "model",
                        model,
                        "attempt",
                        attempt,
                        "resume_after",
                        resumeAfterEvent.isPresent() ? resumeAfterEvent.getAsLong() : null,
                        "expected_ms",
                        choice.expectedMillis(),
                        "predicted_ms",
                        choice.predictedMillis(),
                        "score",
                        choice.score(),
                        "level",
                        level == 0 ? null : level,
                        "work_factor",
                        choice.workFactor() == 1 ? null : choice.workFactor(),
                        "body_bytes",
                        admitted.body().length(),
                        "prompt",
                        segmentIds(),
                        "prompt_tokens",
                        request.promptTokens(),
                        "unread_tokens",
                        choice.uncachedTokens(),
                        "own",
                        upstream.inFlight() - 1,
                        "others",
                        upstream.loadReport().inFlightOfOtherGateways(now()),
                        "load_age_ms",
                        upstream.loadReport().ageMillis(now()),
                        "permits_per_second",
                        upstream.limit().isPresent() ? upstream.permitsPerSecond() : null,
                        "cold_permits_per_second",
                        upstream.cold().cold(now()) ? upstream.cold().permitsPerSecond() : null,
                        "configuration",
                        admitted.table().version(),
                        "left_ms",
                        remainingMillis);
    }

    /** Writes that a draft is dropped for a larger model. */
    void escalated(Attempt draft, String model, String largerModel, int confidence) {
        context.log()
                .write(
                        Decision.REQUEST_ESCALATED,
                        "request",
                        admitted.request().id(),
                        "upstream",
                        draft.upstream().upstream().id(),
                        "from",
                        model,
                        "to",
                        largerModel,
                        "confidence",
                        confidence);
    }

    /** Writes and counts that a doubtful draft is delivered for lack of room or time. */
    void draftKept(Attempt draft, String model, DraftDecision reason, int confidence) {
        context.counters().addDraftKept(reason);
        context.log()
                .write(
                        Decision.DRAFT_KEPT,
                        "request",
                        admitted.request().id(),
                        "upstream",
                        draft.upstream().upstream().id(),
                        "model",
                        model,
                        "confidence",
                        confidence,
                        "reason",
                        reason,
                        "rank",
                        admitted.rank());
    }

    /** Writes and counts that a held draft is delivered in place of an answer of a larger model. */
    void draftDelivered(HeldDraft draft, String largerModel, String reason) {
        context.counters().add(GatewayCounters.Counter.DRAFTS_RECOVERED);
        context.log()
                .write(
                        Decision.DRAFT_RECOVERED,
                        "request",
                        admitted.request().id(),
                        "upstream",
                        draft.attempt().upstream().upstream().id(),
                        "model",
                        draft.model(),
                        "instead_of",
                        largerModel,
                        "complete",
                        draft.complete(),
                        "reason",
                        reason,
                        "held_ms",
                        (now() - draft.attempt().answerStartNanos().orElse(now())) / 1e6);
    }

    /** Writes that an attempt has ended without a usable answer. */
    void attemptFailed(Attempt failed, int attempt, String reason, boolean mayHaveRun) {
        context.log()
                .write(
                        Decision.ATTEMPT_FAILED,
                        "request",
                        admitted.request().id(),
                        "upstream",
                        failed.upstream().upstream().id(),
                        "attempt",
                        attempt,
                        "reason",
                        reason,
                        "may_have_run",
                        mayHaveRun,
                        "prompt",
                        segmentIds(),
                        "events",
                        failed.events(),
                        "answering_ms",
                        failed.answerStartNanos().isPresent()
                                ? (now() - failed.answerStartNanos().getAsLong()) / 1e6
                                : null,
                        "ms",
                        (now() - failed.sentNanos()) / 1e6);
    }

    /** Returns the identifiers of the prompt's segments in order, {@code null} for a request without a prompt. */
    private String segmentIds() {
        final List<PromptSegment> prompt = admitted.request().prompt();
        return prompt.isEmpty() ? null : prompt.stream().map(PromptSegment::id).collect(Collectors.joining(","));
    }

    /** Writes a change of what an upstream says of itself. */
    void upstreamReported(Attempt answered, ResponseMetadata metadata, ReportChange change) {
        final SelfReport report = metadata.self();
        context.log()
                .write(
                        change == ReportChange.LIMIT ? Decision.UPSTREAM_LIMIT_CHANGED : Decision.UPSTREAM_REPORTED,
                        "request",
                        admitted.request().id(),
                        "upstream",
                        answered.upstream().upstream().id(),
                        "change",
                        change,
                        "requests_per_second",
                        report.requestsPerSecond().isPresent()
                                ? report.requestsPerSecond().getAsDouble()
                                : null,
                        "not_before_s",
                        change == ReportChange.PUSHED_BACK
                                ? report.notBeforeSeconds().orElseThrow()
                                : null,
                        "status",
                        answered.status(),
                        "signed",
                        metadata.signed(),
                        "load",
                        report.load().map(Object::toString).orElse(null),
                        "own",
                        answered.upstream().inFlight());
    }

    /** Writes the end of the request. */
    void ended(Decision decision, int status, String reason, Work work) {
        context.log()
                .write(
                        decision,
                        "request",
                        admitted.request().id(),
                        "route",
                        admitted.route().name(),
                        "status",
                        status,
                        "reason",
                        reason.isEmpty() ? null : reason,
                        "attempts",
                        work.attempts(),
                        "upstream",
                        work.lastAttempt()
                                .map(attempt -> attempt.upstream().upstream().id())
                                .orElse(null),
                        "model",
                        work.model().isEmpty() ? null : work.model(),
                        "events",
                        work.events().orElse(null),
                        "ms",
                        (now() - admitted.receivedNanos()) / 1e6,
                        "objective_ms",
                        admitted.route().objectiveMillis(),
                        "configuration",
                        admitted.table().version(),
                        "configuration_age_ms",
                        context.state().confirmedAgeMillis(now()).orElse(-1));
    }

    private long now() {
        return context.scheduler().nanos();
    }
}
