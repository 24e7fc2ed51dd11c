package org.masticpaddle.fleet;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

import org.masticpaddle.wire.Hashing;

/**
 * State that one gateway keeps about one upstream: its entry, the requests in flight from this gateway, the last
 * reported load, and what limits its requests.
 *
 * <p>Invariants: {@link #availability} is the one place that says whether the upstream may get a request, by its circuit and pauses,
 * the evacuation of its failure domain, the limit that it states, its coldness and its pace. Health, reported load, stated limit and
 * estimated cache of an earlier incarnation are discarded. Not thread-safe: confined to the thread of its owner.
 */
public final class UpstreamState {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Longest pause that an upstream is granted; beyond it the upstream is probed. */
    private static final double MAX_PAUSE_SECONDS = 600;

    private final Set<InFlightRequest> inFlightRequests = new HashSet<>();
    private final PrefixCacheEstimate cachedPrefixes = new PrefixCacheEstimate();
    private final LastLoadReport loadReport = new LastLoadReport();
    private final ObservedPerformance performance = new ObservedPerformance();
    private final RequestGate gate = new RequestGate();
    private final long idHash;
    private final EvacuatedDomains evacuatedDomains;
    private Upstream upstream;
    private boolean leaving;
    private long lastActivityNanos;

    UpstreamState(Upstream upstream, EvacuatedDomains evacuatedDomains, long now) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.evacuatedDomains = Objects.requireNonNull(evacuatedDomains, "evacuatedDomains is null");
        idHash = Hashing.hash64(upstream.id());
        lastActivityNanos = now;
    }

    /**
     * Returns the upstream's entry in the upstream list.
     *
     * @return newest entry
     */
    public Upstream upstream() {
        return upstream;
    }

    /**
     * Returns a hash of the upstream's identifier.
     *
     * @return uniformly distributed hash, equal in all gateways
     */
    public long idHash() {
        return idHash;
    }

    void update(Upstream newest) {
        if (newest.startMillis() != upstream.startMillis()) {
            cachedPrefixes.clear();
            gate.reset();
            performance.reset();
            loadReport.reset();
            leaving = false;
        }
        upstream = newest;
    }

    /**
     * Adds a request that is being sent. If the circuit is not closed, the request is the probe.
     *
     * @param model model that runs it; empty for plain services
     * @param prompt segments of its prompt
     * @param uncachedTokens prompt tokens that the upstream is expected to prefill
     * @param prefillMillis expected prefill time in milliseconds
     * @param capacityTokens capacity of the engine's KV cache in tokens
     * @param now current time in nanoseconds
     * @return the request, to be released when it has ended
     */
    public InFlightRequest assign(
            String model,
            List<PromptSegment> prompt,
            int uncachedTokens,
            double prefillMillis,
            long capacityTokens,
            long now) {
        if (inFlightRequests.isEmpty()) {
            lastActivityNanos = now;
        }
        final InFlightRequest request = new InFlightRequest(model, uncachedTokens, prefillMillis, now);
        cachedPrefixes.add(model, prompt, capacityTokens);
        inFlightRequests.add(request);
        gate.onSent(request, now);
        return request;
    }

    /**
     * Removes a request that has ended at the upstream, whatever its outcome.
     *
     * @param request request returned by {@link #assign}
     */
    public void release(InFlightRequest request) {
        inFlightRequests.remove(request);
        gate.onEnded(request);
    }

    /**
     * Records that the upstream has begun to answer a request, so that its prompt is no longer part of the backlog.
     *
     * @param request request returned by {@link #assign}
     */
    public void onAnswerStart(InFlightRequest request) {
        request.markAnswerStarted();
    }

    /**
     * Records that data from the upstream has arrived or that it accepted a connection.
     *
     * @param now current time in nanoseconds
     */
    public void recordActivity(long now) {
        lastActivityNanos = now;
    }

    /**
     * Returns the time since the last activity of an upstream that has requests in flight.
     *
     * @param now current time in nanoseconds
     * @return time in nanoseconds; 0 if no request is in flight
     */
    public long unresponsiveNanos(long now) {
        return inFlightRequests.isEmpty() ? 0 : now - lastActivityNanos;
    }

    /**
     * Applies what the upstream says of itself in a response.
     *
     * @param selfReport values of the response's headers
     * @param signed whether the response has a signature; only signed ones state limits
     * @param rejected whether the response rejects a request; only rejections push back
     * @param now current time in nanoseconds
     * @return what changed; a renewed pause that ends no later is no change
     */
    public Set<ReportChange> onReport(SelfReport selfReport, boolean signed, boolean rejected, long now) {
        final Set<ReportChange> changes = EnumSet.noneOf(ReportChange.class);
        selfReport.load().ifPresent(load -> {
            gate.onLoad(load, now);
            loadReport.record(load, inFlightRequests.size(), now);
        });
        if (rejected) {
            gate.onRejected(now);
        }
        if (signed && gate.setLimit(selfReport.requestsPerSecond())) {
            changes.add(ReportChange.LIMIT);
        }
        if (selfReport.leaving() && markLeaving()) {
            changes.add(ReportChange.LEAVING);
        }
        selfReport.coldLeftMillis().ifPresent(millis -> gate.cold().recordReported(millis, now));
        final double pauseSeconds = rejected ? selfReport.notBeforeSeconds().orElse(0) : 0;
        if (pauseSeconds > 0
                && gate.pushBack(now + (long) (Math.min(pauseSeconds, MAX_PAUSE_SECONDS) * NANOS_PER_SECOND))) {
            changes.add(ReportChange.PUSHED_BACK);
        }
        return changes;
    }

    /** Returns whether the upstream is about to stop, as its entry or the upstream itself says. */
    boolean leaving() {
        return leaving || upstream.draining();
    }

    /** Excludes this incarnation from further requests; returns whether that is new. */
    boolean markLeaving() {
        final boolean changed = !leaving;
        leaving = true;
        return changed;
    }

    /** Returns whether the operator has evacuated the upstream's failure domain. */
    boolean domainEvacuated() {
        return evacuatedDomains.contains(upstream.failureDomain());
    }

    /** Forgets what was observed before the upstream was without requests for some time. Its circuit and limit are kept. */
    void forgetObservations() {
        cachedPrefixes.clear();
        performance.reset();
        loadReport.reset();
    }

    /**
     * Returns the limit that the upstream stated last.
     *
     * @return requests a second that it accepts from all gateways together, empty if it states no limit
     */
    public OptionalDouble limit() {
        return gate.limit();
    }

    /**
     * Paces the requests of this gateway while the upstream states a limit.
     *
     * @param permitsPerSecond requests a second that this gateway may send
     * @param phase part of the first permit that is already due, between 0 and 1; used when pacing starts
     * @param now current time in nanoseconds
     */
    public void pace(double permitsPerSecond, double phase, long now) {
        gate.setPermitRate(permitsPerSecond, phase, now);
    }

    /**
     * Returns the number of requests that may be sent to the upstream now.
     *
     * @param now current time in nanoseconds
     * @return 0 if it is not available, the number of permits if it states a limit, 1 after a pause until it has responded, and
     *     the largest number otherwise
     */
    public int places(long now) {
        return allowsRequest(now) ? gate.places(now) : 0;
    }

    /**
     * Returns the rate of permits.
     *
     * @return requests a second that this gateway may send, 0 if the upstream states no limit
     */
    public double permitsPerSecond() {
        return gate.permitsPerSecond();
    }

    /**
     * Returns the rate of permits, those of a cold upstream included.
     *
     * @param now current time in nanoseconds
     * @return requests a second that this gateway may send, 0 if neither a stated limit nor coldness limits them
     */
    public double permitsPerSecond(long now) {
        return gate.permitsPerSecond(now);
    }

    /**
     * Returns the window of requests after a start or recovery.
     *
     * @return live object
     */
    public PaceWindow pace() {
        return gate.pace();
    }

    /** Records that the present incarnation has just started. */
    void recordStart(long now) {
        gate.recordStart(now);
    }

    /**
     * Returns whether the upstream is cold and what it may get then.
     *
     * @return live object
     */
    public ColdAllowance cold() {
        return gate.cold();
    }

    /**
     * Records a successful answer, which closes the circuit.
     *
     * @param expectedMillis expected time to the start of the answer in milliseconds, 0 if unknown
     * @param actualMillis observed time to the start of the answer in milliseconds
     * @param now current time in nanoseconds
     */
    public void onSuccess(double expectedMillis, double actualMillis, long now) {
        gate.onSuccess(expectedMillis, actualMillis, inFlight(), now);
        performance.recordSuccess(expectedMillis, actualMillis, now);
    }

    /**
     * Records an error response. The upstream is reachable, so the circuit closes; the failure rate rises.
     *
     * @param now current time in nanoseconds
     */
    public void onErrorResponse(long now) {
        performance.recordFailure(now);
        gate.onErrorResponse(inFlight(), now);
    }

    /**
     * Records that the upstream answered that it did not run a request. The upstream is reachable, so the circuit closes.
     *
     * @param now current time in nanoseconds
     */
    public void onNotRun(long now) {
        gate.onNotRun(inFlight(), now);
    }

    /**
     * Records a request without a response, because the connection was refused, reset or stalled, and opens the
     * circuit.
     *
     * @param now current time in nanoseconds
     */
    public void onUnreachable(long now) {
        performance.recordFailure(now);
        gate.onUnreachable(now);
    }

    /**
     * Opens the circuit for at least the time after a third consecutive failure, once it is certain that the upstream
     * is unreachable or that another instance runs at its address.
     *
     * @param now current time in nanoseconds
     */
    public void tripCircuit(long now) {
        performance.recordFailure(now);
        gate.trip(now);
    }

    /**
     * Returns whether the upstream may get a request now and, if not, why.
     *
     * @param now current time in nanoseconds
     * @return {@link Availability#AVAILABLE}, or the reason that will hold longest
     */
    public Availability availability(long now) {
        if (leaving()) {
            return Availability.LEAVING;
        }
        if (domainEvacuated()) {
            return Availability.DOMAIN_EVACUATED;
        }
        return gate.availability(inFlight(), now);
    }

    /**
     * Returns whether the upstream may get a request.
     *
     * @param now current time in nanoseconds
     * @return whether it is {@linkplain #availability available}
     */
    public boolean allowsRequest(long now) {
        return availability(now) == Availability.AVAILABLE;
    }

    /**
     * Returns whether a request that was assigned to the upstream before may still be written.
     *
     * @param now current time in nanoseconds
     * @return {@code false} if the upstream has since said that it wants no requests, now or any more, or the operator has
     *     evacuated its failure domain
     */
    public boolean acceptsAssigned(long now) {
        final Availability availability = availability(now);
        return availability != Availability.LEAVING
                && availability != Availability.DOMAIN_EVACUATED
                && availability != Availability.PUSHED_BACK;
    }

    /**
     * Returns the time until the pause ends that the upstream asked for.
     *
     * @param now current time in nanoseconds
     * @return time in nanoseconds, 0 if it has asked for none or the pause has ended
     */
    public long pauseNanos(long now) {
        return gate.pauseNanos(now);
    }

    /**
     * Returns the failures and latencies of this gateway's requests.
     *
     * @return live object
     */
    public ObservedPerformance performance() {
        return performance;
    }

    /**
     * Returns the newest load report.
     *
     * @return live object
     */
    public LastLoadReport loadReport() {
        return loadReport;
    }

    /**
     * Returns the number of prompt tokens that are in the prefix cache by the prompts that this gateway has sent.
     *
     * @param model model that would run the prompt
     * @param prompt segments of the prompt
     * @return tokens of the longest known prefix, 0 if none is known
     */
    public int cachedTokens(String model, List<PromptSegment> prompt) {
        return cachedPrefixes.cachedTokens(model, prompt);
    }

    /**
     * Returns the expected prefill time of this gateway's requests that the upstream has not begun to answer.
     *
     * @return sum in milliseconds
     */
    public double prefillBacklogMillis() {
        return inFlightRequests.stream()
                .mapToDouble(InFlightRequest::prefillMillis)
                .sum();
    }

    /**
     * Returns the number of requests in flight from this gateway.
     *
     * @return number of requests that have not ended
     */
    public int inFlight() {
        return inFlightRequests.size();
    }

    /**
     * Returns the number of requests that the upstream can process concurrently.
     *
     * @return slots in the last load report, or in the entry if the report has none; at least 1
     */
    public int slots() {
        return Math.max(1, loadReport.slots() > 0 ? loadReport.slots() : upstream.slots());
    }
}
