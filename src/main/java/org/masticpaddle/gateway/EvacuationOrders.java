package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.EvacuationChange;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Applies the operator's orders to evacuate failure domains to the upstreams of a gateway.
 *
 * <p>Invariants: from the call that applies an order on, no request is written to an upstream of the domain, including requests
 * that were assigned to it before; requests that were written run to their end. Used on the event loop only.
 */
final class EvacuationOrders {
    private final UpstreamRegistry registry;
    private final Consumer<URI> closeIdle;
    private final LongSupplier nanos;
    private final DecisionLog log;

    /**
     * Creates a component without state of its own.
     *
     * @param registry upstreams and the domains that are evacuated
     * @param closeIdle closes the idle connections to an upstream
     * @param nanos clock in nanoseconds
     * @param log decision log
     */
    EvacuationOrders(UpstreamRegistry registry, Consumer<URI> closeIdle, LongSupplier nanos, DecisionLog log) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
        this.closeIdle = Objects.requireNonNull(closeIdle, "closeIdle is null");
        this.nanos = Objects.requireNonNull(nanos, "nanos is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /**
     * Puts an order in force or takes it back.
     *
     * @param operatorRecord record of the operators' stream; other kinds are ignored
     * @param offset offset of the record
     */
    void onOperatorRecord(OperatorRecord operatorRecord, long offset) {
        if (operatorRecord instanceof OperatorRecord.EvacuationOrder order) {
            final EvacuationChange change = registry.evacuate(order.failureDomain(), offset);
            if (change.effective()) {
                registry.upstreamsIn(order.failureDomain())
                        .forEach(member -> closeIdle.accept(member.upstream().origin()));
            }
            write(order.failureDomain(), change, offset);
        } else if (operatorRecord instanceof OperatorRecord.EvacuationWithdrawn withdrawn) {
            final EvacuationChange change = registry.restore(withdrawn.failureDomain(), offset, nanos.getAsLong());
            write(withdrawn.failureDomain(), change, offset);
        }
    }

    /** Records that the operators' stream has begun another history, in which all orders in force are written again. */
    void onHistoryReplaced() {
        registry.onOrderHistoryReplaced();
    }

    private void write(String failureDomain, EvacuationChange change, long offset) {
        if (change == EvacuationChange.UNCHANGED) {
            return;
        }
        final List<UpstreamState> upstreams = registry.upstreamsIn(failureDomain);
        log.write(
                Decision.EVACUATION_CHANGED,
                "failure_domain",
                failureDomain,
                "change",
                change,
                "offset",
                offset,
                "upstreams",
                upstreams.size(),
                "own",
                upstreams.stream().mapToInt(UpstreamState::inFlight).sum(),
                "evacuated",
                String.join(",", registry.evacuatedDomains()));
    }
}
