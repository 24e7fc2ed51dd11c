package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.admission.AdmissionCandidate;
import org.masticpaddle.admission.ServiceAdmission;
import org.masticpaddle.admission.Verdict;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Admission of one request to the upstreams of its service, by expected time and the share of its organisation.
 *
 * <p>Invariants: it decides on the first attempt only, since a retry or an escalation continues work that was admitted; the
 * request leaves the line at its end at the latest. Without admission by the settings, each request is sent at once. Used on the
 * event loop only.
 */
final class AttemptAdmission {
    /** Weight of a generated token against one that is read. */
    private static final double GENERATED_TOKEN_WORK = 10;

    private final Scheduler scheduler;
    private final ServiceForecaster forecaster;
    private final ServiceAdmission admission;
    private final Optional<ServiceAdmission.Ticket> ticket;
    private final AdmissionCandidate candidate;
    private boolean waited;

    AttemptAdmission(GatewayState state, Scheduler scheduler, String service, AdmissionCandidate candidate) {
        Objects.requireNonNull(state, "state is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.candidate = Objects.requireNonNull(candidate, "candidate is null");
        forecaster = new ServiceForecaster(state, service);
        admission = state.admissions().service(service);
        ticket = state.admissions().decide()
                ? Optional.of(admission.open(candidate, scheduler.nanos()))
                : Optional.empty();
    }

    /** Describes a request for its admission. */
    static AdmissionCandidate candidate(AdmittedRequest admitted) {
        final InboundRequest request = admitted.request();
        final int generatedTokens = Math.min(
                request.maxOutputTokens(), request.estimatedOutputTokens().orElse(request.maxOutputTokens()));
        return new AdmissionCandidate(
                admitted.keyOwner().map(KeyOwner::organisation).orElse(""),
                request.session(),
                admitted.route().name(),
                admitted.rank(),
                Math.max(1, request.promptTokens() + GENERATED_TOKEN_WORK * generatedTokens),
                admitted.receivedNanos(),
                admitted.route().objectiveMillis(),
                admitted.timeoutMillis());
    }

    /** Decides on the first attempt, which the given upstream would get. */
    Verdict decide(UpstreamPlacement.Choice choice) {
        if (ticket.isEmpty() || choice.member().limit().isPresent()) {
            return Verdict.Send.INSTANCE;
        }
        final Verdict verdict = ticket.get().decide(forecaster.forecast(choice, startRatio(), now()), now());
        waited |= verdict instanceof Verdict.Wait;
        return verdict;
    }

    /** Returns the forecast of the time until the answer starts, in milliseconds. */
    double expectedMillis(UpstreamPlacement.Choice choice) {
        return ServiceForecaster.expectedMillis(choice, now()) * startRatio();
    }

    /** Returns whether the organisation of the request is to do without work that is not necessary. */
    boolean restrained() {
        return ticket.isPresent() && admission.restrains(candidate.organisation(), candidate.rank(), now());
    }

    /** Returns whether the request has waited. */
    boolean waited() {
        return waited;
    }

    /** Returns the time since the arrival of the request, in milliseconds. */
    double waitedMillis() {
        return candidate.waitedMillis(now());
    }

    /** Records that an attempt is sent. */
    void onSent(UpstreamPlacement.Choice choice) {
        ticket.ifPresent(each -> each.onSent(ServiceForecaster.expectedMillis(choice, now()), now()));
    }

    /** Records that the answer has started. */
    void onStarted() {
        ticket.ifPresent(each -> each.onStarted(now()));
    }

    /** Records how an attempt ended; one that has not run does not count against the organisation. */
    void onAttemptEnd(AttemptEnd end) {
        if (!end.mayHaveRun()) {
            ticket.ifPresent(each -> each.onNotRun(now()));
        }
    }

    /** Gives the place among the waiting requests up while the request cannot be sent for another reason. */
    void leaveLine() {
        ticket.ifPresent(ServiceAdmission.Ticket::leaveLine);
    }

    /** Records that an upstream did not run the request. It lacks room if its report shows that all its places are taken. */
    void onNotRun(UpstreamState upstream) {
        if (upstream.loadReport().waiting(now()) > 0
                || upstream.loadReport().inFlightOfAllGateways(now()).orElse(0) >= upstream.slots()) {
            admission.onUpstreamRejected(now());
            ticket.ifPresent(ServiceAdmission.Ticket::onUpstreamFull);
        }
    }

    /** Ends the request. */
    void close(boolean answered) {
        ticket.ifPresent(each -> each.close(answered, now()));
    }

    private double startRatio() {
        return admission.startRatio(candidate.rank(), now());
    }

    private long now() {
        return scheduler.nanos();
    }
}
