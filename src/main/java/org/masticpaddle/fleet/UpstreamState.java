package org.masticpaddle.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What one gateway knows of one upstream: its entry, the requests it sent there, the load it reported and its failures.
 *
 * <p>Invariants: an upstream in its closed time gets no request but one trial at its end; knowledge of an earlier life is
 * dropped. Not thread-safe: the owner's thread uses it.
 */
public final class UpstreamState {
    /** Age at which a load report counts no longer, about the time that a request of the shortest kind takes. */
    private static final long REPORT_NANOS = 2_000_000_000L;
    /** First closed time after failures in a row. */
    private static final long FIRST_CLOSED_NANOS = 300_000_000L;
    /** Longest closed time; a recovered upstream gets work again within this. */
    private static final long LONGEST_CLOSED_NANOS = 2_400_000_000L;
    /** Weight of the newest answer in the shares of failures and the slowness. */
    private static final double NEWEST = 0.15;
    /** Bounds of the slowness factor. */
    private static final double FASTEST = 0.5;

    private static final double SLOWEST = 12;

    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Set<InFlightRequest> assignments = new HashSet<>();
    private final PrefixMemory prefixes = new PrefixMemory();
    private Upstream upstream;
    private ReportedLoad report = new ReportedLoad(0, 0, 0);
    private long reportNanos = NEVER;
    private int ownAtReport;
    private int failuresInRow;
    private long closedUntil = NEVER;
    private boolean trial;
    private double failureShare;
    private double slowness = 1;
    private long heardNanos;

    UpstreamState(Upstream upstream, long now) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        heardNanos = now;
    }

    /**
     * Returns the entry.
     *
     * @return newest entry of the upstream
     */
    public Upstream upstream() {
        return upstream;
    }

    void update(Upstream newest) {
        if (newest.startMillis() != upstream.startMillis()) {
            prefixes.clear();
            failuresInRow = 0;
            closedUntil = NEVER;
            trial = false;
            failureShare = 0;
            slowness = 1;
            reportNanos = NEVER;
        }
        upstream = newest;
    }

    /**
     * Counts a request that is sent.
     *
     * @param model model that runs it, empty text for plain services
     * @param prompt parts of its prompt
     * @param promptTokens tokens of its prompt
     * @param prefillMillis time that reading the prompt is expected to take
     * @param capacityTokens tokens that the engine keeps in memory
     * @param now time in nanoseconds
     * @return the request as the upstream's work
     */
    public InFlightRequest assign(
            String model,
            List<PromptSegment> prompt,
            int promptTokens,
            double prefillMillis,
            long capacityTokens,
            long now) {
        if (assignments.isEmpty()) {
            heardNanos = now;
        }
        final InFlightRequest assignment =
                new InFlightRequest(model, uncachedTokens(model, prompt, promptTokens), prefillMillis, now);
        prefixes.remember(model, prompt, capacityTokens);
        assignments.add(assignment);
        if (closedUntil > NEVER) {
            trial = true;
        }
        return assignment;
    }

    /**
     * Counts a request that has ended at the upstream, in whatever way.
     *
     * @param assignment the request
     */
    public void release(InFlightRequest assignment) {
        assignments.remove(assignment);
    }

    /**
     * Notes that the upstream has begun to answer a request.
     *
     * @param assignment the request
     */
    public void onAnswerStart(InFlightRequest assignment) {
        assignment.start();
    }

    /**
     * Notes a sign of life.
     *
     * @param now time in nanoseconds
     */
    public void recordActivity(long now) {
        heardNanos = now;
    }

    /**
     * Tells for how long an upstream with work has given no sign of life.
     *
     * @param now time in nanoseconds
     * @return nanoseconds, 0 for an upstream without work
     */
    public long unresponsiveNanos(long now) {
        return assignments.isEmpty() ? 0 : now - heardNanos;
    }

    /**
     * Takes the load that came with an answer.
     *
     * @param figures the load
     * @param now time in nanoseconds
     */
    public void onLoadReport(ReportedLoad figures, long now) {
        report = Objects.requireNonNull(figures, "figures is null");
        reportNanos = now;
        ownAtReport = assignments.size();
    }

    /**
     * Counts a sound answer.
     *
     * @param expectedMillis time that was expected to the beginning of the answer, 0 if unknown
     * @param actualMillis time that it took
     */
    public void onSuccess(double expectedMillis, double actualMillis) {
        failuresInRow = 0;
        closedUntil = NEVER;
        trial = false;
        failureShare -= NEWEST * failureShare;
        if (expectedMillis > 0) {
            final double ratio = Math.max(FASTEST, Math.min(SLOWEST, actualMillis / expectedMillis));
            slowness += NEWEST * (ratio - slowness);
        }
    }

    /** Counts an answer that says that the upstream failed, from an upstream that can be reached. */
    public void onErrorResponse() {
        failureShare += NEWEST * (1 - failureShare);
        trial = false;
        closedUntil = NEVER;
    }

    /**
     * Counts a request without an answer: a connection that was refused, reset or silent.
     *
     * @param now time in nanoseconds
     */
    public void onUnreachable(long now) {
        failureShare += NEWEST * (1 - failureShare);
        trial = false;
        final long closed = Math.min(LONGEST_CLOSED_NANOS, FIRST_CLOSED_NANOS << Math.min(failuresInRow, 6));
        failuresInRow++;
        closedUntil = now + closed;
    }

    /**
     * Closes the upstream after proof that it cannot be reached or is another one.
     *
     * @param now time in nanoseconds
     */
    public void tripCircuit(long now) {
        failuresInRow = Math.max(failuresInRow, 2);
        onUnreachable(now);
    }

    /**
     * Tells whether the upstream may get a request.
     *
     * @param now time in nanoseconds
     * @return {@code true} outside of closed times, and for one trial after one
     */
    public boolean open(long now) {
        return now >= closedUntil && !(trial && closedUntil > NEVER);
    }

    /**
     * Returns the share of answers that were failures.
     *
     * @return decayed share between 0 and 1
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Returns how much slower the upstream is than expected.
     *
     * @return decayed factor, 1 for as expected
     */
    public double slowness() {
        return slowness;
    }

    /**
     * Counts the tokens of a prompt that the upstream has to read.
     *
     * @param model the model
     * @param prompt parts of the prompt
     * @param promptTokens tokens of the whole prompt
     * @return tokens that are probably not cached
     */
    public int uncachedTokens(String model, List<PromptSegment> prompt, int promptTokens) {
        return Math.max(1, promptTokens - prefixes.cachedTokens(model, prompt));
    }

    /**
     * Returns the time that the upstream needs to read the prompts that this gateway sent.
     *
     * @return milliseconds
     */
    public double prefillBacklogMillis() {
        return assignments.stream().mapToDouble(InFlightRequest::prefillMillis).sum();
    }

    /**
     * Returns the number of requests that this gateway has there.
     *
     * @return requests that have not ended
     */
    public int inFlight() {
        return assignments.size();
    }

    /**
     * Estimates the number of requests that other gateways have there.
     *
     * @param now time in nanoseconds
     * @return requests, 0 without a recent report
     */
    public int inFlightOfOtherGateways(long now) {
        return now - reportNanos > REPORT_NANOS ? 0 : Math.max(0, report.running() + report.waiting() - ownAtReport);
    }

    /**
     * Returns the number of requests that waited at the last report.
     *
     * @param now time in nanoseconds
     * @return requests, 0 without a recent report
     */
    public int waiting(long now) {
        return now - reportNanos > REPORT_NANOS ? 0 : report.waiting();
    }

    /**
     * Returns the age of the last load report.
     *
     * @param now time in nanoseconds
     * @return milliseconds, -1 if there was none
     */
    public long reportAgeMillis(long now) {
        return reportNanos == NEVER ? -1 : (now - reportNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the number of slots.
     *
     * @return slots by the newest report or entry, at least 1
     */
    public int slots() {
        return Math.max(1, report.slots() > 0 ? report.slots() : upstream.slots());
    }
}
