package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.kernel.ShutdownClock;

/**
 * Order and times of the steps of a gateway's stop: accepts requests until the load balancer has removed the gateway, rejects
 * further ones and waits for those in flight, ends the rest near the end of the grace period, and closes.
 *
 * <p>Invariant: the waits end within the grace period, whatever the event loop, the requests in flight and the log do. Used by one
 * thread.
 */
final class GatewayShutdown {
    /** Fraction of the grace period after which new requests are rejected, so that those in flight can complete. */
    private static final double REJECT_GRACE_SHARE = 0.37;
    /** Fraction of the grace period after which requests in flight are ended, those excepted whose answers have arrived. */
    private static final double STOP_GRACE_SHARE = 0.85;
    /**
     * Fraction of the grace period after which all requests in flight are ended, by an event loop that has not read its connections
     * since.
     */
    private static final double END_GRACE_SHARE = 0.9;
    /** Fraction of the grace period until which the process waits for the final responses of the requests that were ended. */
    private static final double FLUSH_GRACE_SHARE = 0.95;
    /** Fraction of the grace period until which the process waits for its log. */
    private static final double CLOSE_GRACE_SHARE = 0.98;
    /**
     * Time for which a draining process still accepts requests, unless the grace period is short. The load balancer checks
     * readiness once a second and removes a gateway after two failed checks.
     */
    private static final Duration MIN_DRAIN = Duration.ofMillis(2_800);

    private final long graceNanos;
    private final ShutdownClock clock;
    private final Steps steps;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param grace time between the request to stop and the end of the process
     * @param clock clock and waits of the thread that stops
     * @param steps what the gateway does
     */
    GatewayShutdown(Duration grace, ShutdownClock clock, Steps steps) {
        graceNanos = grace.toNanos();
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.steps = Objects.requireNonNull(steps, "steps is null");
    }

    /** Runs all steps; returns when the gateway is closed. */
    void run() {
        final long startNanos = clock.nanos();
        steps.drain();
        clock.sleepUntil(startNanos + Math.min(MIN_DRAIN.toNanos(), share(REJECT_GRACE_SHARE)));
        steps.rejectNew();
        awaitIdle(startNanos + share(STOP_GRACE_SHARE));
        steps.endUnanswered();
        awaitIdle(startNanos + share(END_GRACE_SHARE));
        steps.endAll();
        awaitIdle(startNanos + share(FLUSH_GRACE_SHARE));
        final long elapsedNanos = clock.nanos() - startNanos;
        steps.close(
                Duration.ofNanos(elapsedNanos), Duration.ofNanos(Math.max(0, share(CLOSE_GRACE_SHARE) - elapsedNanos)));
    }

    private void awaitIdle(long deadlineNanos) {
        final CompletableFuture<Void> idle = steps.idle();
        clock.await(idle, deadlineNanos);
        idle.complete(null);
    }

    private long share(double fraction) {
        return (long) (graceNanos * fraction);
    }

    /** What a gateway does while it stops. None of the methods waits for the event loop. */
    interface Steps {
        /** Reports not ready and closes each connection after its next response. */
        void drain();

        /** Rejects further requests. */
        void rejectNew();

        /** Ends the requests in flight after the answers that have arrived were read. */
        void endUnanswered();

        /** Ends the requests in flight. */
        void endAll();

        /** Returns a future that completes once no request is in flight; the receiver completes it to end the observation. */
        CompletableFuture<Void> idle();

        /**
         * Closes all connections and ends the log.
         *
         * @param elapsed time since the begin of the stop
         * @param limit longest time to wait for the log
         */
        void close(Duration elapsed, Duration limit);
    }
}
