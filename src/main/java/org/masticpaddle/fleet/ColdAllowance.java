package org.masticpaddle.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * Until when one upstream is cold, and the permits of one gateway for it until then.
 *
 * <p>An upstream is cold for some time after its start, whether or not it says so, and for the time that its entry or its newest
 * report states. A later statement replaces an earlier one of the same source, since entries and reports overtake each other.
 * Invariants: without a {@linkplain ColdLimit#limited() limit} no upstream is cold; a cold upstream gets no request without a permit.
 * Not thread-safe: confined to the thread of its owner.
 */
public final class ColdAllowance {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Time that lies before all others; differences to it do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private ColdLimit limit = ColdLimit.NONE;
    private long startNanos = NEVER;
    private long listedUntilNanos = NEVER;
    private long reportedUntilNanos = NEVER;
    private double permitsPerSecond;
    private double phase;
    private Optional<RequestPacer> pacer = Optional.empty();

    ColdAllowance() {}

    /** Records that the present incarnation has just started. */
    void recordStart(long now) {
        startNanos = now;
        listedUntilNanos = NEVER;
        reportedUntilNanos = NEVER;
    }

    /**
     * Records that the upstream was out of use or out of reach until now, so that it may have started again since. What it says of
     * itself is kept.
     */
    void recordReturn(long now) {
        startNanos = now;
    }

    /** Records the time for which the upstream is cold by its entry in the list, 0 if it is not. */
    void recordListed(long coldLeftMillis, long now) {
        listedUntilNanos = now + coldLeftMillis * NANOS_PER_MILLI;
    }

    /** Records the time for which the upstream is cold by its response, 0 if it is not. */
    void recordReported(long coldLeftMillis, long now) {
        reportedUntilNanos = now + coldLeftMillis * NANOS_PER_MILLI;
    }

    /**
     * Sets the limit and the rate of this gateway.
     *
     * @param newLimit limit of the service
     * @param newPermitsPerSecond requests a second that this gateway may send while the upstream is cold
     * @param newPhase part of the first permit that is already due when the upstream turns cold, between 0 and 1, drawn at random
     * @param now current time in nanoseconds
     */
    public void setLimit(ColdLimit newLimit, double newPermitsPerSecond, double newPhase, long now) {
        limit = Objects.requireNonNull(newLimit, "newLimit is null");
        permitsPerSecond = newPermitsPerSecond;
        phase = newPhase;
        pacer.ifPresent(each -> each.setRate(permitsPerSecond, now));
    }

    /**
     * Returns how much longer the upstream is cold.
     *
     * @param now current time in nanoseconds
     * @return time in nanoseconds, 0 if it is not cold or cold upstreams are not limited
     */
    public long leftNanos(long now) {
        if (!limit.limited()) {
            return 0;
        }
        final long started = startNanos + (long) (limit.coldSeconds() * NANOS_PER_SECOND);
        return Math.max(0, Math.max(started, Math.max(listedUntilNanos, reportedUntilNanos)) - now);
    }

    /**
     * Returns whether the upstream is cold.
     *
     * @param now current time in nanoseconds
     * @return whether a request needs a permit
     */
    public boolean cold(long now) {
        return leftNanos(now) > 0;
    }

    /**
     * Returns the rate of permits while the upstream is cold.
     *
     * @return requests a second that this gateway may send
     */
    public double permitsPerSecond() {
        return permitsPerSecond;
    }

    /** Returns the number of requests that may be sent now; the largest number if the upstream is not cold. */
    int permits(long now) {
        return pacer(now).map(each -> each.available(now)).orElse(Integer.MAX_VALUE);
    }

    /** Takes a permit if the upstream is cold. */
    void take(long now) {
        pacer(now).ifPresent(each -> each.take(now));
    }

    private Optional<RequestPacer> pacer(long now) {
        if (!cold(now)) {
            pacer = Optional.empty();
        } else if (pacer.isEmpty()) {
            pacer = Optional.of(new RequestPacer(permitsPerSecond, phase, ColdLimit.PERMIT_LIFETIME_NANOS, now));
        }
        return pacer;
    }
}
