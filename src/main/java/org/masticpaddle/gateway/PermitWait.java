package org.masticpaddle.gateway;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.admission.PermitQueue;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;

/**
 * Wait of one request for a permit of upstreams that state a limit.
 *
 * <p>Invariant: the request is in the queue of its service from {@link #begin} to {@link #end}. Used on the event loop only.
 */
final class PermitWait {
    private final GatewayState state;
    private final Scheduler scheduler;
    private final String service;
    private final int rank;
    private Optional<PermitQueue.Ticket> ticket = Optional.empty();

    PermitWait(GatewayState state, Scheduler scheduler, String service, int rank) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.service = Objects.requireNonNull(service, "service is null");
        this.rank = rank;
    }

    /** Returns whether the request may be sent to an upstream now, or others are to get the permits before it. */
    boolean isTurn(UpstreamState upstream) {
        return upstream.limit().isEmpty() || queue().size() == 0 || ahead() < permits();
    }

    /** Returns whether an upstream could run the request if its limit permitted it. */
    boolean blocked() {
        final long now = scheduler.nanos();
        return members().stream().anyMatch(member -> member.waitsForPermit(now) || member.permits(now) > 0);
    }

    /** Returns the expected time until it is this request's turn, in milliseconds. */
    double expectedMillis() {
        final double permitsPerSecond =
                members().stream().mapToDouble(UpstreamState::permitsPerSecond).sum();
        final double missing = Math.max(0, ahead() + 1 - permits());
        return permitsPerSecond <= 0 ? Double.MAX_VALUE : missing * 1_000 / permitsPerSecond;
    }

    /** Enters the queue. Has no effect if the request waits already. */
    void begin() {
        if (ticket.isEmpty()) {
            ticket = Optional.of(queue().enter(rank));
        }
    }

    /** Leaves the queue. Has no effect if the request does not wait. */
    void end() {
        ticket.ifPresent(queue()::leave);
        ticket = Optional.empty();
    }

    private int ahead() {
        return ticket.map(queue()::ahead).orElseGet(() -> queue().size());
    }

    private int permits() {
        final long now = scheduler.nanos();
        return members().stream().mapToInt(member -> member.permits(now)).sum();
    }

    private List<UpstreamState> members() {
        return state.registry().members(service);
    }

    private PermitQueue queue() {
        return state.limits().queue(service);
    }
}
