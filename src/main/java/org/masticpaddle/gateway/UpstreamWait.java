package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.masticpaddle.admission.PermitQueue;
import org.masticpaddle.fleet.Availability;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;

/**
 * Wait of one request for a place at upstreams that state a limit or have asked for a pause.
 *
 * <p>Load pattern: all upstreams of a service turn work away at the same time. Requests then take the places that become free by
 * rank and in order of arrival, so that nothing storms an upstream at the end of its pause. Invariant: the request is in the
 * queue of its service from {@link #begin} to {@link #end}. Used on the event loop only.
 */
final class UpstreamWait {
    /** Time within which an upstream responds to the request that probes it after a pause, so that it accepts more. */
    private static final double PROBE_MILLIS = 250;

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayState state;
    private final Scheduler scheduler;
    private final String service;
    private final int urgency;
    private Optional<PermitQueue.Ticket> ticket = Optional.empty();

    UpstreamWait(GatewayState state, Scheduler scheduler, String service, int urgency) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.urgency = urgency;
    }

    /** Returns whether the request may be sent to an upstream now, or others are to get the places before it. */
    boolean isTurn(UpstreamState upstream) {
        return upstream.places(scheduler.nanos()) == Integer.MAX_VALUE || queue().size() == 0 || ahead() < places();
    }

    /** Returns whether an upstream is expected to have a place after a time that is known, or has one for another request. */
    boolean blocked() {
        final long now = scheduler.nanos();
        return members().stream().anyMatch(member -> member.availability(now).temporary() || member.places(now) > 0);
    }

    /** Returns the expected time until it is this request's turn, in milliseconds. */
    double expectedMillis() {
        final int missing = ahead() + 1 - places();
        if (missing <= 0) {
            return 0;
        }
        final long now = scheduler.nanos();
        final double permitsPerSecond = members().stream()
                .mapToDouble(member -> member.permitsPerSecond(now))
                .sum();
        final double permitMillis = permitsPerSecond <= 0 ? Double.MAX_VALUE : missing * 1_000 / permitsPerSecond;
        final List<Long> pauses = members().stream()
                .map(member -> member.pauseNanos(now))
                .filter(pause -> pause > 0)
                .sorted()
                .toList();
        if (pauses.isEmpty()) {
            // An upstream whose pause has ended accepts more as soon as it has responded to its probe.
            final boolean recovering =
                    members().stream().anyMatch(member -> recovers(member, now)) || warmUpstreamExpected(now);
            return recovering ? Math.min(permitMillis, PROBE_MILLIS) : permitMillis;
        }
        final double firstMillis = pauses.get(0) / NANOS_PER_MILLI;
        final double pauseMillis = missing <= pauses.size()
                ? Math.min(pauses.get(missing - 1) / NANOS_PER_MILLI, firstMillis + PROBE_MILLIS)
                : firstMillis + PROBE_MILLIS;
        return Math.min(permitMillis, pauseMillis);
    }

    /** Returns why the upstreams of the service take no request now: the number of upstreams for each reason. */
    String reasons() {
        final long now = scheduler.nanos();
        return members().stream()
                .map(member -> member.availability(now))
                .filter(availability -> availability != Availability.AVAILABLE)
                .collect(Collectors.groupingBy(availability -> availability, Collectors.counting()))
                .entrySet()
                .stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    /** Enters the queue. Has no effect if the request waits already. */
    void begin() {
        if (ticket.isEmpty()) {
            ticket = Optional.of(queue().enter(urgency));
        }
    }

    /** Leaves the queue. Has no effect if the request does not wait. */
    void end() {
        ticket.ifPresent(queue()::leave);
        ticket = Optional.empty();
    }

    private static boolean recovers(UpstreamState member, long now) {
        return member.availability(now) == Availability.PROBED
                || member.places(now) == 1 && member.permitsPerSecond(now) == 0;
    }

    /** Returns whether cold upstreams have no permits, but one that is warm may soon take requests again. */
    private boolean warmUpstreamExpected(long now) {
        final Set<Availability> reasons =
                members().stream().map(member -> member.availability(now)).collect(Collectors.toSet());
        return reasons.contains(Availability.NO_COLD_PERMIT)
                && (reasons.contains(Availability.CIRCUIT_OPEN) || reasons.contains(Availability.PACED));
    }

    private int ahead() {
        return ticket.map(queue()::ahead).orElseGet(() -> queue().size());
    }

    private int places() {
        final long now = scheduler.nanos();
        return (int) Math.min(
                Integer.MAX_VALUE,
                members().stream().mapToLong(member -> member.places(now)).sum());
    }

    private List<UpstreamState> members() {
        return state.registry().members(service);
    }

    private PermitQueue queue() {
        return state.limits().queue(service);
    }
}
