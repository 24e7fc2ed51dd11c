package org.masticpaddle.routing;

/**
 * Keeps work from an upstream that fails repeatedly, and lets single trials through later. Not thread-safe.
 *
 * <p>Five failures in a row, or one proof that the upstream cannot be reached, open the circuit for one second, doubled
 * at each failed trial up to 30 seconds.
 */
public final class CircuitBreaker {
    private static final int FAILURE_THRESHOLD = 5;
    private static final long INITIAL_OPEN_MILLIS = 1_000;
    private static final long MAX_OPEN_MILLIS = 30_000;

    private int consecutiveFailures;
    private long openMillis;
    private long openUntilMillis;
    private boolean probeInFlight;

    /** Creates a closed circuit. */
    public CircuitBreaker() {}

    /**
     * Tells whether a request may be sent.
     *
     * @param now current time in milliseconds
     * @return {@code true} if closed, or open for long enough that a trial is due
     */
    public boolean allows(long now) {
        return openMillis == 0 || now >= openUntilMillis;
    }

    /**
     * Notes that a request is sent; an open circuit then waits for its result before the next trial.
     *
     * @param now current time in milliseconds
     */
    public void onSent(long now) {
        if (openMillis > 0) {
            probeInFlight = true;
            openUntilMillis = now + openMillis;
        }
    }

    /** Closes the circuit. */
    public void onSuccess() {
        consecutiveFailures = 0;
        openMillis = 0;
        probeInFlight = false;
    }

    /**
     * Notes a failure of the upstream, not of the request.
     *
     * @param now current time in milliseconds
     */
    public void onFailure(long now) {
        consecutiveFailures++;
        openAtThreshold(now);
    }

    /**
     * Notes that the upstream cannot be reached, which one refused connection proves.
     *
     * @param now current time in milliseconds
     */
    public void onUnreachable(long now) {
        consecutiveFailures = Math.max(consecutiveFailures, FAILURE_THRESHOLD);
        openAtThreshold(now);
    }

    private void openAtThreshold(long now) {
        // Requests sent before the circuit opened fail together; they are no trials and do not lengthen the pause.
        if (consecutiveFailures >= FAILURE_THRESHOLD && (openMillis == 0 || probeInFlight)) {
            probeInFlight = false;
            openMillis = openMillis == 0 ? INITIAL_OPEN_MILLIS : Math.min(MAX_OPEN_MILLIS, openMillis * 2);
            openUntilMillis = now + openMillis;
        }
    }
}
