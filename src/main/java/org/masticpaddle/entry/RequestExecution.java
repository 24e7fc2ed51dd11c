package org.masticpaddle.entry;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.claim.ClaimRecord;
import org.masticpaddle.claim.IdempotencyKey;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.routing.VersionPlan;

/**
 * One request from its admission to its answer. Owned by the entry's duty; not thread-safe.
 *
 * <p>Invariant: once {@link #ended()} is true nothing is delivered to the caller any more.
 */
final class RequestExecution {
    private final long number;
    private final CallerRequest request;
    private final Responder responder;
    private final EffectiveConfiguration document;
    private final PromptPrefixes prefixes;
    private Optional<IdempotencyKey> key = Optional.empty();
    private Optional<SessionBinding> session = Optional.empty();
    private Optional<VersionPlan.Cascade> cascade = Optional.empty();
    private Optional<ModelVersion> version = Optional.empty();
    private Optional<ClaimRecord.Claim> claim = Optional.empty();
    private Optional<WaitingRequest> waiting = Optional.empty();
    private Optional<UpstreamView> firstTry = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private int tries;
    private int claims;
    private boolean claiming;
    private boolean limited;
    private boolean callerGone;
    private boolean ended;

    RequestExecution(long number, CallerRequest request, Responder responder, EffectiveConfiguration document) {
        this.number = number;
        this.request = Objects.requireNonNull(request, "request is null");
        this.responder = Objects.requireNonNull(responder, "responder is null");
        this.document = Objects.requireNonNull(document, "document is null");
        this.prefixes = new PromptPrefixes(request.target());
    }

    long number() {
        return number;
    }

    CallerRequest request() {
        return request;
    }

    PromptPrefixes prefixes() {
        return prefixes;
    }

    Responder responder() {
        return responder;
    }

    EffectiveConfiguration document() {
        return document;
    }

    /** Service in the instance list whose upstreams answer the request. */
    String pool() {
        return request.target() instanceof CallerRequest.Plain plain
                ? plain.service().service()
                : version.map(ModelVersion::service).orElse("");
    }

    /** Version that the upstream must have loaded; for a plain service a name that its sidecars report. */
    VersionName routedVersion() {
        return request.target() instanceof CallerRequest.Plain plain
                ? Upstreams.plainVersion(plain.service().service())
                : version.orElseThrow().name();
    }

    Optional<IdempotencyKey> key() {
        return key;
    }

    void key(IdempotencyKey accepted) {
        key = Optional.of(accepted);
    }

    Optional<SessionBinding> session() {
        return session;
    }

    void session(SessionBinding binding) {
        session = Optional.of(binding);
    }

    Optional<VersionPlan.Cascade> cascade() {
        return cascade;
    }

    void cascade(VersionPlan.Cascade plan) {
        cascade = Optional.of(plan);
        version = Optional.of(plan.draft());
    }

    /** Whether the answer that runs now is a draft that is judged before it is delivered. */
    boolean drafting() {
        return cascade.filter(plan -> version.filter(plan.draft()::equals).isPresent())
                .isPresent();
    }

    Optional<ModelVersion> version() {
        return version;
    }

    void version(ModelVersion chosen) {
        version = Optional.of(chosen);
    }

    Optional<ClaimRecord.Claim> claim() {
        return claim;
    }

    void claim(ClaimRecord.Claim won) {
        claim = Optional.of(won);
    }

    void clearClaim() {
        claim = Optional.empty();
    }

    /** Whether a claim was asked for and is not decided. */
    boolean claiming() {
        return claiming;
    }

    void claiming(boolean asked) {
        claiming = asked;
    }

    int countClaim() {
        return ++claims;
    }

    Optional<WaitingRequest> waiting() {
        return waiting;
    }

    void waiting(WaitingRequest place) {
        waiting = Optional.of(place);
    }

    Optional<UpstreamView> firstTry() {
        return firstTry;
    }

    void firstTry(UpstreamView upstream) {
        firstTry = Optional.of(upstream);
    }

    Optional<Attempt> attempt() {
        return attempt;
    }

    void attempt(Attempt call) {
        attempt = Optional.of(call);
        tries++;
    }

    int tries() {
        return tries;
    }

    boolean limited() {
        return limited;
    }

    void countedByLimits() {
        limited = true;
    }

    boolean callerGone() {
        return callerGone;
    }

    void markCallerGone() {
        callerGone = true;
    }

    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
