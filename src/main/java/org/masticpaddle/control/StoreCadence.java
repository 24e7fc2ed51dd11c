package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Timing of a gateway's reads of the shared log, derived from the bounds of the deployment, since every call is billed, rejected
 * ones included.
 *
 * <p>Held reads return as soon as there is a record, so that their hold does not delay a change. It limits for how long a
 * connection that has gone silent goes unnoticed: {@code hold + response timeout + confirmation} is at most the time within
 * which a gateway must know all changes again after a disturbance, and with the time of a request in transit also at most the
 * time for which revoked keys may still be accepted and the time after which an evacuated failure domain must get no requests.
 *
 * <p>Reads that return at once (periodic reads) hold all records acknowledged before they were sent. A record that is
 * acknowledged just after that is known with the response of the next read, and a request that was placed before still needs
 * the time to connect: {@code pause + late timer + slow response + connect} is at most the time after which a draining upstream
 * must get no requests.
 *
 * <p>The read of the operator's stream finds out soon whether a log that has failed responds again, since API keys are accepted
 * only after that. Reads of other streams that failed wait for it, and for no longer than lets them end in time by themselves: a
 * request that was sent during a disturbance may end with its timeout after it, so that {@code response timeout + backoff + late
 * timer + slow response} is at most the time within which all changes must be known again. Immutable and thread-safe.
 *
 * @param operatorStream timing of reads of configurations, keys and rollout orders, which are rare
 * @param upstreamList timing of reads of the list of upstreams, each of which renews its entry about once a second
 * @param rolloutStatus timing of reads of the status of a rollout in progress
 */
public record StoreCadence(ReadTiming operatorStream, ReadTiming upstreamList, ReadTiming rolloutStatus) {
    /** Time from the sending of a read to the last byte of a small response, beyond the hold. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);
    /** Time of the short read after a failed one: its delay and the response of a slow log. */
    private static final Duration CONFIRMATION = Duration.ofMillis(400);
    /** Part of the bounds on revoked keys and evacuated domains in which a request may still be on its way. */
    private static final Duration TRANSIT_MARGIN = Duration.ofMillis(600);
    /** Time from the choice of an upstream to the arrival of the request there, if the connection is opened slowly. */
    private static final Duration CONNECT_MARGIN = Duration.ofMillis(400);
    /** Response of a slow log. */
    private static final Duration SLOW_RESPONSE = Duration.ofMillis(250);
    /** Delay of a timer while the event loop is busy or its processor time is used up. */
    private static final Duration LATE_TIMER = Duration.ofMillis(300);
    /** Pause between two reads of the list while the successors of lost upstreams are awaited. */
    private static final Duration SUCCESSOR_PAUSE = Duration.ofMillis(600);
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
        final Duration operatorHold = shortest(settlingHold, orderHold);
        final Duration listPause =
                longest(drain.minus(CONNECT_MARGIN).minus(SLOW_RESPONSE).minus(LATE_TIMER), SHORTEST);
        final Duration backoff =
                settling.minus(RESPONSE_TIMEOUT).minus(LATE_TIMER).minus(SLOW_RESPONSE);
        return new StoreCadence(
                ReadTiming.longPoll(operatorHold),
                ReadTiming.periodic(listPause).withMaxBackoff(shortest(backoff, listPause)),
                ReadTiming.longPoll(settlingHold).withMaxBackoff(shortest(backoff, settlingHold)));
    }

    /**
     * Returns the timing of reads of the list while the successors of lost upstreams are awaited.
     *
     * @return the timing of the list with a short pause, but none longer than without that
     */
    public ReadTiming awaitedUpstreamList() {
        return upstreamList.withPause(shortest(upstreamList.pause(), SUCCESSOR_PAUSE));
    }

    /**
     * Returns the timing of periodic reads of what gateways tell each other during a rollout.
     *
     * @param pause maximum delay between two reads
     * @return timing with the backoff of the other streams
     */
    public ReadTiming rolloutCounts(Duration pause) {
        return ReadTiming.periodic(pause).withMaxBackoff(rolloutStatus.maxBackoff());
    }

    private static Duration shortest(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private static Duration longest(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }
}
