package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.masticpaddle.admission.RetryAfterPolicy;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routes.ServicePolicy;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.HttpRequest;

/**
 * Takes one request from its arrival to its final answer.
 *
 * <p>Invariants: at most one attempt is under way; an attempt that may have run is followed by another only if the route
 * allows it; a refusal that says "not run" is sent only if every attempt is known not to have run; there is exactly one
 * final answer, at the deadline at the latest. Used on the event loop only.
 */
final class RequestForwarder implements Attempt.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Time below which another attempt cannot end in time. */
    private static final long SHORTEST_ATTEMPT_MILLIS = 30;
    /** Pause before upstreams are looked for again while none is known to be open. */
    private static final long RECHECK_MILLIS = 40;

    private final GatewayContext context;
    private final CallerExchange caller;
    private final AdmittedRequest call;
    private final String service;
    private final VersionRouter.Admission versions;
    private final long deadlineNanos;
    private final Set<String> excluded = new HashSet<>();
    private Scheduler.Timer deadline;
    private Attempt attempt;
    private Optional<StreamRelay> relay = Optional.empty();
    private String model;
    private int size;
    private int sends;
    private long firstEventNanos;
    private int eventsBefore;
    private boolean mayHaveRun;
    private boolean failedOnPreferred;
    private boolean ended;
    private String lastFailure = "no upstream was found";

    RequestForwarder(GatewayContext context, CallerExchange caller, AdmittedRequest call) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.call = Objects.requireNonNull(call, "call is null");
        service = call.route().selectService(context.random().nextDouble());
        versions = context.versions()
                .admit(service, call.request().session(), call.request().id());
        deadlineNanos = call.receivedNanos() + call.limitMillis() * NANOS_PER_MILLI;
        size = context.ladder().first(call.route().modelsBySize().size());
        model = model(size);
    }

    void start() {
        context.counters().add(GatewayCounters.Counter.RECEIVED);
        context.state().budget(service).recordFirstAttempt(now());
        deadline = context.scheduler().schedule(millisLeft(), this::expire);
        caller.onGone(this::cancel);
        next();
    }

    private void next() {
        if (ended) {
            return;
        }
        final Optional<UpstreamPlacement.Choice> choice = place();
        if (choice.isPresent()) {
            send(choice.get());
        } else if (sends == 0 && millisLeft() > call.limitMillis() / 2) {
            context.scheduler().schedule(RECHECK_MILLIS, this::next);
        } else {
            giveUp("no upstream is open; last failure: " + lastFailure);
        }
    }

    private Optional<UpstreamPlacement.Choice> place() {
        final List<UpstreamState> members = context.state().roster().members(service);
        final UpstreamPlacement.Request wanted = placementRequest(model, size);
        final Predicate<UpstreamState> preferred =
                member -> versions.preferred().test(member.upstream());
        final Predicate<UpstreamState> permitted =
                member -> versions.permitted().test(member.upstream());
        final Predicate<UpstreamState> untried =
                member -> !excluded.contains(member.upstream().id());
        final Predicate<UpstreamState> others =
                permitted.and(preferred.negate()).and(untried);
        return Stream.of(
                        failedOnPreferred ? others : preferred.and(untried),
                        preferred.and(untried),
                        permitted.and(untried),
                        preferred,
                        permitted)
                .map(allowed -> context.placement().choose(wanted, members, allowed, times(), now()))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private UpstreamPlacement.Request placementRequest(String wanted, int index) {
        final InboundRequest request = call.request();
        final List<PromptSegment> prompt = request.prompt();
        return new UpstreamPlacement.Request(
                wanted,
                relativeCost(index),
                prompt,
                request.promptTokens(),
                prompt.size() < 2 ? "" : prompt.get(prompt.size() - 2).id(),
                call.body().length / 1024.0);
    }

    private void send(UpstreamPlacement.Choice choice) {
        final UpstreamState upstream = choice.member();
        final InboundRequest request = call.request();
        final boolean alone = upstream.prefillBacklogMillis() == 0;
        final InFlightRequest assignment = upstream.assign(
                model, request.prompt(), request.promptTokens(), choice.serviceMillis(), tokenCapacity(), now());
        sends++;
        attempt =
                new Attempt(upstream, assignment, choice.expectedMillis(), choice.serviceMillis(), alone, now(), this);
        context.counters().add(GatewayCounters.Counter.SENT);
        context.log()
                .write(
                        Decision.REQUEST_SENT,
                        "request",
                        request.id(),
                        "route",
                        call.route().name(),
                        "organisation",
                        call.holder().map(KeyOwner::organisation).orElse(null),
                        "session",
                        request.session().orElse(null),
                        "upstream",
                        upstream.upstream().id(),
                        "version",
                        upstream.upstream().version(),
                        "model",
                        model,
                        "attempt",
                        sends,
                        "resume_after",
                        resumeAfter().isPresent() ? resumeAfter().getAsLong() : null,
                        "expected_ms",
                        choice.expectedMillis(),
                        "score",
                        choice.score(),
                        "body_bytes",
                        call.body().length,
                        "prompt_tokens",
                        request.promptTokens(),
                        "unread_tokens",
                        choice.uncachedTokens(),
                        "own",
                        upstream.inFlight() - 1,
                        "others",
                        upstream.inFlightOfOtherGateways(now()),
                        "load_age_ms",
                        upstream.reportAgeMillis(now()),
                        "configuration",
                        call.table().version(),
                        "left_ms",
                        millisLeft());
        context.silence().began(attempt);
        attempt.send(context.client(), upstreamCall(upstream.upstream()));
    }

    private HttpRequest upstreamCall(Upstream upstream) {
        final UpstreamRequestMetadata facts = new UpstreamRequestMetadata(
                upstream.id(),
                Math.max(1, millisLeft()),
                call.holder().map(KeyOwner::organisation),
                call.route().modelsBySize().isEmpty() ? Optional.empty() : Optional.of(model),
                call.rank(),
                resumeAfter());
        return new HttpRequest(
                upstream.origin(),
                call.method(),
                call.target(),
                context.dialect().upstreamRequestHeaders(call.headers(), facts),
                call.body(),
                Duration.ofMillis(call.limitMillis() * 2),
                !call.route().repeatable());
    }

    private OptionalLong resumeAfter() {
        return relay.filter(StreamRelay::begun)
                .map(StreamRelay::lastEvent)
                .orElse(call.request().lastEventId());
    }

    @Override
    public void headed(Attempt headed) {
        final UpstreamState upstream = headed.upstream();
        final long now = now();
        upstream.recordActivity(now);
        final ResponseMetadata facts = context.dialect().parseResponse(headed.headers());
        facts.load().ifPresent(load -> upstream.onLoadReport(load, now));
        final ResponseVerdict verdict = ResponseVerdict.of(
                call.route(),
                call.request().id(),
                headed.status(),
                headed.headers().containsKey("content-encoding"),
                facts);
        if (verdict.failure() && !isLastWord(verdict, headed.status(), facts)) {
            refused(headed, verdict);
            return;
        }
        if (call.route().kind().streamed() && headed.status() == 200) {
            beginStream(headed, facts);
        }
    }

    /** Whether an upstream's own failure is what the caller gets, since no other attempt can follow. */
    private boolean isLastWord(ResponseVerdict verdict, int status, ResponseMetadata facts) {
        return verdict == ResponseVerdict.FAILED
                && facts.signed()
                && status != 503
                && status >= 500
                && relay.isEmpty()
                && (sends >= call.route().maxAttempts() || millisLeft() < SHORTEST_ATTEMPT_MILLIS);
    }

    /** Handles an answer that is no answer to the request; its connection is not used again. */
    private void refused(Attempt refused, ResponseVerdict verdict) {
        refused.cancel();
        lastFailure = verdict + " with status " + refused.status();
        if (verdict.mayHaveRun()) {
            mayHaveRun = true;
            failedOnPreferred |= versions.preferred().test(refused.upstream().upstream());
            refused.upstream().onErrorResponse();
            report(refused, false);
        } else if (refused.status() == 421) {
            refused.upstream().tripCircuit(now());
        }
        logFailure(refused);
        again(refused, verdict.mayHaveRun());
    }

    private void beginStream(Attempt headed, ResponseMetadata facts) {
        final double millis = (now() - headed.sentNanos()) / 1e6;
        learn(headed, millis);
        headed.started();
        report(headed, true);
        firstEventNanos = now();
        eventsBefore = relay.map(StreamRelay::relayed).orElse(0);
        if (relay.isPresent() && relay.get().begun()) {
            relay.get().continueWith();
            return;
        }
        final double objectiveLeft = call.route().objectiveMillis() - (now() - call.receivedNanos()) / 1e6;
        final OptionalInt larger = escalation(facts.confidence(), objectiveLeft);
        if (larger.isPresent()) {
            escalate(headed, larger.getAsInt(), facts.confidence().orElse(-1));
            return;
        }
        relay = Optional.of(new StreamRelay(
                caller,
                headed.status(),
                HopByHopHeaders.strip(headed.headers()),
                call.request().lastEventId()));
    }

    private OptionalInt escalation(OptionalInt confidence, double objectiveLeft) {
        final int sizes = call.route().modelsBySize().size();
        if (sizes < 2 || sends >= call.route().maxAttempts()) {
            return OptionalInt.empty();
        }
        final Optional<UpstreamPlacement.Choice> choice = context.placement()
                .choose(
                        placementRequest(call.route().modelsBySize().get(sizes - 1), sizes - 1),
                        context.state().roster().members(service),
                        member -> versions.preferred().test(member.upstream()),
                        times(),
                        now());
        if (choice.isEmpty()) {
            return OptionalInt.empty();
        }
        final double expected = choice.get().expectedMillis();
        final ModelCascade.LatencyEstimate outlook = new ModelCascade.LatencyEstimate(
                objectiveLeft,
                millisLeft(),
                expected - choice.get().serviceMillis(),
                expected,
                expected + expectedEvents() * times().eventIntervalMillis(model(sizes - 1), relativeCost(sizes - 1)));
        final OptionalInt larger = context.ladder().next(sizes, size, confidence, call.rank(), outlook);
        return larger.isPresent()
                        && context.state().budget(service).tryRetryWithReserve(now(), GatewayState.KEPT_FOR_FAILURES)
                ? larger
                : OptionalInt.empty();
    }

    private double expectedEvents() {
        final InboundRequest request = call.request();
        final int tokens =
                Math.min(request.maxOutputTokens(), request.estimatedOutputTokens().orElse(request.maxOutputTokens()));
        return (double) tokens
                / call.table()
                        .service(service)
                        .map(ServicePolicy::tokensPerEvent)
                        .orElse(1);
    }

    private void escalate(Attempt draft, int larger, int confidence) {
        draft.cancel();
        context.counters().add(GatewayCounters.Counter.ESCALATED);
        context.log()
                .write(
                        Decision.REQUEST_ESCALATED,
                        "request",
                        call.request().id(),
                        "upstream",
                        draft.upstream().upstream().id(),
                        "from",
                        model,
                        "to",
                        model(larger),
                        "confidence",
                        confidence);
        size = larger;
        model = model(larger);
        next();
    }

    @Override
    public void received(Attempt receiving, byte[] bytes) {
        receiving.upstream().recordActivity(now());
        if (relay.isEmpty()) {
            receiving.keep(bytes);
            return;
        }
        relay.get().accept(bytes);
        if (relay.get().disordered() && !receiving.over()) {
            receiving.fail("an event is missing or comes twice");
        }
    }

    @Override
    public void finished(Attempt done) {
        if (relay.isPresent()) {
            if (relay.get().complete()) {
                learnEvents();
                end(Decision.REQUEST_ANSWERED, GatewayCounters.Counter.ANSWERED, done.status(), "");
            } else {
                broken(
                        done,
                        new HttpRequestException(
                                HttpRequestException.Delivery.POSSIBLY_SENT, "the stream ended inside an event", null));
            }
            return;
        }
        final double millis = (now() - done.sentNanos()) / 1e6;
        if (done.status() < 300) {
            learn(done, millis);
            report(done, true);
        } else if (done.status() >= 500) {
            done.upstream().onErrorResponse();
            report(done, false);
        }
        if (!ended) {
            end(Decision.REQUEST_ANSWERED, GatewayCounters.Counter.ANSWERED, done.status(), "");
            caller.answer(done.status(), HopByHopHeaders.strip(done.headers()), done.body());
        }
    }

    @Override
    public void broken(Attempt failed, HttpRequestException error) {
        lastFailure = error.reason();
        final boolean sent = error.delivery() == HttpRequestException.Delivery.POSSIBLY_SENT;
        failed.upstream().onUnreachable(now());
        if (sent) {
            mayHaveRun = true;
            report(failed, false);
        } else {
            sends--;
            if (sends > 0) {
                context.state().budget(service).refundRetry(now());
            }
        }
        logFailure(failed);
        again(failed, sent);
    }

    /** Sends the request once more if that does no harm, can end in time and is within attempts and budget. */
    private void again(Attempt failed, boolean ran) {
        if (ended) {
            return;
        }
        excluded.add(failed.upstream().upstream().id());
        final boolean begun = relay.isPresent() && relay.get().begun();
        if (ran && !call.route().repeatable()
                || begun
                        && (relay.get().disordered()
                                || call.route().modelsBySize().isEmpty()
                                        && !call.route().resumable())) {
            giveUp(lastFailure);
        } else if (sends >= call.route().maxAttempts() || millisLeft() < SHORTEST_ATTEMPT_MILLIS) {
            giveUp("no attempt is left; last failure: " + lastFailure);
        } else if (sends > 0 && !context.state().budget(service).tryRetry(now())) {
            context.counters().add(GatewayCounters.Counter.BUDGET_EMPTY);
            giveUp("the retry budget is empty; last failure: " + lastFailure);
        } else {
            context.counters().add(begun ? GatewayCounters.Counter.RESUMED : GatewayCounters.Counter.RETRIED);
            next();
        }
    }

    private void learnEvents() {
        final int gaps = relay.get().relayed() - eventsBefore - 1;
        if (gaps > 0 && !model.isEmpty()) {
            times().recordEventInterval(model, relativeCost(size), (now() - firstEventNanos) / 1e6 / gaps);
        }
    }

    private void learn(Attempt answered, double millis) {
        answered.upstream().onSuccess(answered.expectedMillis(), millis);
        if (!model.isEmpty() && answered.alone()) {
            times().recordPrefill(model, relativeCost(size), unreadTokens(answered), millis);
        } else if (model.isEmpty()) {
            times().recordPlainRequest(millis);
        }
    }

    private static int unreadTokens(Attempt answered) {
        return answered.assignment().uncachedTokens();
    }

    private void report(Attempt answered, boolean sound) {
        context.versions()
                .answered(
                        answered.upstream().upstream(),
                        call.route().name(),
                        sound,
                        (now() - answered.sentNanos()) / 1e6,
                        answered.expectedMillis());
    }

    private void expire() {
        giveUp("no answer before the deadline; last failure: " + lastFailure, true);
    }

    private void giveUp(String reason) {
        giveUp(reason, false);
    }

    private void giveUp(String reason, boolean late) {
        if (ended) {
            return;
        }
        final boolean running = attempt != null && !attempt.over();
        if (running) {
            mayHaveRun = true;
            attempt.cancel();
        }
        if (relay.isPresent() && relay.get().begun()) {
            end(Decision.REQUEST_FAILED, GatewayCounters.Counter.FAILED, 0, reason);
            caller.cut();
        } else if (mayHaveRun) {
            final int status = late ? 504 : 502;
            end(Decision.REQUEST_FAILED, GatewayCounters.Counter.FAILED, status, reason);
            caller.answer(status, Map.of(), LocalResponses.body(status, reason));
        } else {
            end(Decision.REQUEST_REJECTED, GatewayCounters.Counter.REFUSED, 503, reason);
            final double seconds =
                    RetryAfterPolicy.BACKOFF.delaySeconds(call.route().objectiveMillis(), context.random());
            caller.answer(503, LocalResponses.retryAfter(seconds), LocalResponses.body(503, reason));
        }
    }

    private void cancel() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        end(Decision.REQUEST_CANCELLED, GatewayCounters.Counter.CANCELLED, 0, "the caller left");
    }

    private void end(Decision decision, GatewayCounters.Counter counter, int status, String reason) {
        ended = true;
        deadline.cancel();
        context.counters().add(counter);
        context.log()
                .write(
                        decision,
                        "request",
                        call.request().id(),
                        "route",
                        call.route().name(),
                        "status",
                        status,
                        "reason",
                        reason.isEmpty() ? null : reason,
                        "attempts",
                        sends,
                        "upstream",
                        attempt == null ? null : attempt.upstream().upstream().id(),
                        "model",
                        model.isEmpty() ? null : model,
                        "events",
                        relay.map(StreamRelay::relayed).orElse(null),
                        "ms",
                        (now() - call.receivedNanos()) / 1e6,
                        "objective_ms",
                        call.route().objectiveMillis(),
                        "configuration",
                        call.table().version(),
                        "configuration_age_ms",
                        context.state().confirmedAgeMillis(now()).orElse(-1));
    }

    private void logFailure(Attempt failed) {
        context.log()
                .write(
                        Decision.ATTEMPT_FAILED,
                        "request",
                        call.request().id(),
                        "upstream",
                        failed.upstream().upstream().id(),
                        "attempt",
                        sends,
                        "reason",
                        lastFailure,
                        "may_have_run",
                        mayHaveRun,
                        "ms",
                        (now() - failed.sentNanos()) / 1e6);
    }

    private String model(int index) {
        final List<String> sizes = call.route().modelsBySize();
        return sizes.isEmpty() ? call.request().model().orElse("") : sizes.get(index);
    }

    private double relativeCost(int index) {
        final Map<String, Double> costs = context.state()
                .table()
                .flatMap(table -> table.service(service))
                .map(ServicePolicy::modelCosts)
                .orElse(Map.of());
        final double highest =
                costs.values().stream().mapToDouble(Double::doubleValue).max().orElse(1);
        return highest <= 0 ? 1 : costs.getOrDefault(model(index), highest) / highest;
    }

    private long tokenCapacity() {
        return call.table().service(service).map(ServicePolicy::tokenCapacity).orElse(0L);
    }

    private ServiceTimes times() {
        return context.state().times(service);
    }

    private long now() {
        return context.scheduler().nanos();
    }

    private long millisLeft() {
        return Math.max(0, (deadlineNanos - now()) / NANOS_PER_MILLI);
    }

    /**
     * A request that may be forwarded. Immutable, but for the body's bytes, which nobody changes.
     *
     * @param table configuration by which it was admitted
     * @param route its route
     * @param holder owner of its key, empty on open routes
     * @param request what its headers say
     * @param method HTTP method
     * @param target path with query, as the caller sent it
     * @param headers headers by lower-case name
     * @param body body
     * @param receivedNanos time of its arrival
     */
    record AdmittedRequest(
            RoutingTable table,
            Route route,
            Optional<KeyOwner> holder,
            InboundRequest request,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            long receivedNanos) {
        long limitMillis() {
            return Math.min(request.timeoutMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        }

        int rank() {
            return holder.map(KeyOwner::rank)
                    .filter(OptionalInt::isPresent)
                    .map(OptionalInt::getAsInt)
                    .orElse(route.rank());
        }
    }
}
