package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Timing of a gateway's reads of the shared log, derived from the bounds of the deployment, since every call is billed.
 *
 * <p>Held reads return as soon as there is a record, so that their hold does not delay a change. It limits for how long a
 * connection that has gone silent goes unnoticed: the hold, the response timeout and a short read that confirms the present state
 * have to fit into the time within which a gateway must know all changes again after a disturbance, into the time for which
 * revoked keys may still be accepted, and into the time after which an evacuated failure domain must get no requests. Reads that
 * return at once (periodic reads) see a change after the pause, its jitter and the response of a slow log; a request that was
 * placed before still needs the time to connect. Immutable and thread-safe.
 *
 * @param operatorStream timing of reads of configurations, keys and rollout orders, which are rare
 * @param upstreamList timing of reads of the list of upstreams, each of which renews its entry about once a second
 * @param rolloutStatus timing of reads of the status of a rollout in progress
 */
public record StoreCadence(ReadTiming operatorStream, ReadTiming upstreamList, ReadTiming rolloutStatus) {
    /** Response timeout of the log, beyond the hold of a read. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);
    /** Time of the short read after a failed one: its delay and the response of a slow log. */
    private static final Duration CONFIRMATION = Duration.ofMillis(400);
    /** Part of the bounds on revoked keys and evacuated domains in which a request may still be on its way. */
    private static final Duration TRANSIT_MARGIN = Duration.ofMillis(600);
    /** Time from the choice of an upstream to the arrival of the request there, if the connection is opened slowly. */
    private static final Duration CONNECT_MARGIN = Duration.ofMillis(400);
    /** Response of a slow log. */
    private static final Duration SLOW_RESPONSE = Duration.ofMillis(250);
    /** Part of the time left that the pause between two periodic reads may take; the rest covers jitter and late timers. */
    private static final double PAUSE_FRACTION = 0.75;
    /** Shortest hold and pause, also for very short bounds. */
    private static final Duration SHORTEST = Duration.ofMillis(300);

    /** Checks the arguments. */
    public StoreCadence {
        Objects.requireNonNull(operatorStream, "operatorStream is null");
        Objects.requireNonNull(upstreamList, "upstreamList is null");
        Objects.requireNonNull(rolloutStatus, "rolloutStatus is null");
    }

    /**
     * Derives the timing from the bounds of a deployment.
     *
     * @param keyRevocation time after which a revoked API key must not be accepted
     * @param evacuation time after which an evacuated failure domain must get no requests, empty if there is no such bound
     * @param drain time after which a draining upstream must get no requests
     * @param settling time after a disturbance within which a gateway must know all changes again
     * @return the longest holds and pauses that keep the bounds
     */
    public static StoreCadence of(
            Duration keyRevocation, Optional<Duration> evacuation, Duration drain, Duration settling) {
        final Duration unnoticed = RESPONSE_TIMEOUT.plus(CONFIRMATION);
        final Duration settlingHold = longest(settling.minus(unnoticed), SHORTEST);
        final Duration tightest =
                evacuation.filter(bound -> bound.compareTo(keyRevocation) < 0).orElse(keyRevocation);
        final Duration orderHold = longest(tightest.minus(unnoticed).minus(TRANSIT_MARGIN), SHORTEST);
        final Duration operatorHold = settlingHold.compareTo(orderHold) < 0 ? settlingHold : orderHold;
        final long pauseMillis = (long) (PAUSE_FRACTION
                * drain.minus(CONNECT_MARGIN).minus(SLOW_RESPONSE).toMillis());
        return new StoreCadence(
                ReadTiming.longPoll(operatorHold),
                ReadTiming.periodic(longest(Duration.ofMillis(pauseMillis), SHORTEST)),
                ReadTiming.longPoll(settlingHold));
    }

    private static Duration longest(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }
}
