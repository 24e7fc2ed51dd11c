package org.masticpaddle.routing;

/**
 * Circuit breaker of one upstream.
 *
 * <p>Five consecutive failures, or one refused connection, open the circuit for one second. After that it is half-open
 * and allows one probe at a time; each failed probe doubles the open time, up to 30 seconds. Not thread-safe.
 */
public final class CircuitBreaker {
    /** Consecutive failures that open the circuit. */
    private static final int FAILURE_THRESHOLD = 5;
    /** Time for which the circuit opens at first. */
    private static final long INITIAL_OPEN_MILLIS = 1_000;
    /** Longest time for which the circuit opens after failed probes. */
    private static final long MAX_OPEN_MILLIS = 30_000;

    private int consecutiveFailures;
    private long openMillis;
    private long openUntilMillis;
    private boolean probeInFlight;

    /** Creates a closed circuit. */
    public CircuitBreaker() {}

    /**
     * Returns whether the circuit allows a request.
     *
     * @param now current time in milliseconds
     * @return {@code true} if the circuit is closed or a probe is due
     */
    public boolean allows(long now) {
        return openMillis == 0 || now >= openUntilMillis;
    }

    /**
     * Records that a request is sent. If the circuit is not closed, the request is a probe: the next one is allowed
     * after its result or after the open time, whichever comes first.
     *
     * @param now current time in milliseconds
     */
    public void onSent(long now) {
        if (openMillis > 0) {
            probeInFlight = true;
            openUntilMillis = now + openMillis;
        }
    }

    /** Records a success, which closes the circuit. */
    public void onSuccess() {
        consecutiveFailures = 0;
        openMillis = 0;
        probeInFlight = false;
    }

    /**
     * Records a failure of the upstream, as opposed to one of the request.
     *
     * @param now current time in milliseconds
     */
    public void onFailure(long now) {
        consecutiveFailures++;
        openAtThreshold(now);
    }

    /**
     * Records that the upstream is unreachable, for which one refused connection is proof enough.
     *
     * @param now current time in milliseconds
     */
    public void onUnreachable(long now) {
        consecutiveFailures = Math.max(consecutiveFailures, FAILURE_THRESHOLD);
        openAtThreshold(now);
    }

    private void openAtThreshold(long now) {
        // Requests sent before the circuit opened fail together. They are not probes and must not extend the open time.
        if (consecutiveFailures >= FAILURE_THRESHOLD && (openMillis == 0 || probeInFlight)) {
            probeInFlight = false;
            openMillis = openMillis == 0 ? INITIAL_OPEN_MILLIS : Math.min(MAX_OPEN_MILLIS, openMillis * 2);
            openUntilMillis = now + openMillis;
        }
    }
}
