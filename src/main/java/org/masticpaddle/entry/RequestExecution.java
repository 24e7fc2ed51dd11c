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
 * State of one request from its arrival to its answer or error. Owned by the entry's duty; not thread-safe.
 *
 * <p>Invariant: nothing is delivered to the caller after {@link #ended()} has become true.
 */
final class RequestExecution {
    private final long id;
    private final CallerRequest request;
    private final Responder responder;
    private final EffectiveConfiguration configuration;
    private final PromptPrefixes prefixes;
    private Optional<IdempotencyKey> key = Optional.empty();
    private Optional<SessionBinding> session = Optional.empty();
    private Optional<VersionPlan.Cascade> cascade = Optional.empty();
    private Optional<ModelVersion> version = Optional.empty();
    private Optional<ClaimRecord.Claim> claim = Optional.empty();
    private Optional<WaitingRequest> queueSlot = Optional.empty();
    private Optional<UpstreamView> previousUpstream = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private int attemptCount;
    private int attemptsThatMayHaveRun;
    private int statusQueries;
    private boolean claimPending;
    private boolean countedByLimits;
    private boolean callerDisconnected;
    private boolean ended;

    RequestExecution(long id, CallerRequest request, Responder responder, EffectiveConfiguration configuration) {
        this.id = id;
        this.request = Objects.requireNonNull(request, "request is null");
        this.responder = Objects.requireNonNull(responder, "responder is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.prefixes = new PromptPrefixes(request.target());
    }

    /** Identifier of the request in the admission queue, unique within the process. */
    long id() {
        return id;
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

    /** Configuration in effect when the request arrived; it applies until the request ends. */
    EffectiveConfiguration configuration() {
        return configuration;
    }

    /** Service in the instance list whose upstreams answer the request; empty until the version is chosen. */
    String pool() {
        return request.target() instanceof CallerRequest.Plain plain
                ? plain.service().service()
                : version.map(ModelVersion::service).orElse("");
    }

    /** Version that the upstream must have loaded; for a plain service the placeholder that its sidecars report. */
    VersionName routedVersion() {
        return request.target() instanceof CallerRequest.Plain plain
                ? Upstreams.plainVersion(plain.service().service())
                : version.orElseThrow().name();
    }

    Optional<IdempotencyKey> key() {
        return key;
    }

    void setKey(IdempotencyKey accepted) {
        key = Optional.of(accepted);
    }

    Optional<SessionBinding> session() {
        return session;
    }

    void setSession(SessionBinding binding) {
        session = Optional.of(binding);
    }

    Optional<VersionPlan.Cascade> cascade() {
        return cascade;
    }

    void setCascade(VersionPlan.Cascade plan) {
        cascade = Optional.of(plan);
        version = Optional.of(plan.draft());
    }

    /** Whether the current attempt produces a draft, which is rated before it is delivered. */
    boolean draftRunning() {
        return cascade.filter(plan -> version.filter(plan.draft()::equals).isPresent())
                .isPresent();
    }

    Optional<ModelVersion> version() {
        return version;
    }

    void setVersion(ModelVersion chosen) {
        version = Optional.of(chosen);
    }

    Optional<ClaimRecord.Claim> claim() {
        return claim;
    }

    void setClaim(ClaimRecord.Claim won) {
        claim = Optional.of(won);
    }

    void clearClaim() {
        claim = Optional.empty();
    }

    /**
     * Whether a claim, its release or a status query is pending, so that the request must not be ended by its deadline.
     */
    boolean claimPending() {
        return claimPending;
    }

    void setClaimPending(boolean pending) {
        claimPending = pending;
    }

    /** Counts a status query about the attempt that holds the key, and returns the new count. */
    int countStatusQuery() {
        return ++statusQueries;
    }

    Optional<WaitingRequest> queueSlot() {
        return queueSlot;
    }

    void setQueueSlot(WaitingRequest slot) {
        queueSlot = Optional.of(slot);
    }

    /** Upstream of the previous attempt, which a retry avoids; empty before the first retry. */
    Optional<UpstreamView> previousUpstream() {
        return previousUpstream;
    }

    void setPreviousUpstream(UpstreamView upstream) {
        previousUpstream = Optional.of(upstream);
    }

    /** The latest attempt; empty before the first dispatch. */
    Optional<Attempt> attempt() {
        return attempt;
    }

    void addAttempt(Attempt next) {
        attempt = Optional.of(next);
        attemptCount++;
        attemptsThatMayHaveRun++;
    }

    /** Records that the latest attempt has not run and never will. */
    void markAttemptNotRun() {
        attemptsThatMayHaveRun--;
    }

    /** Whether an attempt has run, is running or may have run; attempts whose answer was a draft count as well. */
    boolean mayHaveRun() {
        return attemptsThatMayHaveRun > 0;
    }

    int attemptCount() {
        return attemptCount;
    }

    boolean countedByLimits() {
        return countedByLimits;
    }

    void markCountedByLimits() {
        countedByLimits = true;
    }

    boolean callerDisconnected() {
        return callerDisconnected;
    }

    void markCallerDisconnected() {
        callerDisconnected = true;
    }

    boolean ended() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}
