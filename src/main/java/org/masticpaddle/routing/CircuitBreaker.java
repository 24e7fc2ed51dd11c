package org.masticpaddle.routing;

/**
 * Keeps work from an upstream that fails repeatedly, and lets single trials through later. Not thread-safe.
 *
 * <p>Five failures in a row, or one proof that the upstream cannot be reached, open the circuit for one second, doubled
 * at each failed trial up to 30 seconds.
 */
public final class CircuitBreaker {
    private static final int FAILURES = 5;
    private static final long FIRST_OPEN_MILLIS = 1_000;
    private static final long LONGEST_OPEN_MILLIS = 30_000;

    private int failures;
    private long openMillis;
    private long opensUntil;
    private boolean trial;

    /** Creates a closed circuit. */
    public CircuitBreaker() {}

    /**
     * Tells whether a request may be sent.
     *
     * @param now current time in milliseconds
     * @return {@code true} if closed, or open for long enough that a trial is due
     */
    public boolean allows(long now) {
        return openMillis == 0 || now >= opensUntil;
    }

    /**
     * Notes that a request is sent; an open circuit then waits for its result before the next trial.
     *
     * @param now current time in milliseconds
     */
    public void onSent(long now) {
        if (openMillis > 0) {
            trial = true;
            opensUntil = now + openMillis;
        }
    }

    /** Closes the circuit. */
    public void onSuccess() {
        failures = 0;
        openMillis = 0;
        trial = false;
    }

    /**
     * Notes a failure of the upstream, not of the request.
     *
     * @param now current time in milliseconds
     */
    public void onFailure(long now) {
        failures++;
        open(now);
    }

    /**
     * Notes that the upstream cannot be reached, which one refused connection proves.
     *
     * @param now current time in milliseconds
     */
    public void onUnreachable(long now) {
        failures = Math.max(failures, FAILURES);
        open(now);
    }

    private void open(long now) {
        // Requests sent before the circuit opened fail together; they are no trials and do not lengthen the pause.
        if (failures >= FAILURES && (openMillis == 0 || trial)) {
            trial = false;
            openMillis = openMillis == 0 ? FIRST_OPEN_MILLIS : Math.min(LONGEST_OPEN_MILLIS, openMillis * 2);
            opensUntil = now + openMillis;
        }
    }
}
