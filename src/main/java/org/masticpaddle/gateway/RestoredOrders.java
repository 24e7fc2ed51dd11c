package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.masticpaddle.control.OperatorRecord;

/**
 * Decides which rollout orders of a restored log are those that were known before.
 *
 * <p>Invariants, until the operator has had the time to write lost orders again: an order that names the version of the known rollout
 * of its service continues that rollout; any other order of the listing may be an older one of the copy and waits; an order that is
 * read after the listing was written in the present history and takes effect. Performs no input or output. Not thread-safe: used on
 * the event loop only.
 */
final class RestoredOrders {
    private final Set<String> awaited = new HashSet<>();
    private final Map<String, Waiting> waiting = new HashMap<>();
    private boolean settled = true;
    private boolean listing;

    /**
     * Records that the known orders belong to a history that is gone.
     *
     * @param services services with a known rollout
     */
    void onHistoryReplaced(Set<String> services) {
        settled = false;
        listing = true;
        waiting.clear();
        awaited.addAll(services);
    }

    /** Records that all orders that the present history held have been decided on. */
    void onListed() {
        listing = false;
    }

    /**
     * Decides what an order means.
     *
     * @param order order of the present history
     * @param offset its offset
     * @param knownVersion version of the rollout of the service, empty if there is none
     */
    Effect onOrder(OperatorRecord.RolloutOrder order, long offset, Optional<String> knownVersion) {
        waiting.remove(order.service());
        if (!settled && knownVersion.equals(Optional.of(order.version()))) {
            awaited.remove(order.service());
            return Effect.CONTINUE;
        }
        if (listing) {
            waiting.put(order.service(), new Waiting(order, offset));
            return Effect.WAIT;
        }
        awaited.remove(order.service());
        return Effect.START;
    }

    /** Forgets the order of a service, which was withdrawn. */
    void onWithdrawal(String service) {
        awaited.remove(service);
        waiting.remove(service);
    }

    /** Returns whether the order of a service has no offset in the present history yet. */
    boolean awaits(String service) {
        return awaited.contains(service);
    }

    /** Records that the operator has had the time to write lost orders again; removes and returns those that have waited for it. */
    List<Waiting> settle() {
        settled = true;
        awaited.clear();
        final List<Waiting> orders = List.copyOf(waiting.values());
        waiting.clear();
        return orders;
    }

    /** What an order leads to. */
    enum Effect {
        /** A new rollout begins. */
        START,
        /** The known rollout goes on under the order's offset. */
        CONTINUE,
        /** Nothing changes for now. */
        WAIT
    }

    /**
     * Order that may be older than the known one. Immutable.
     *
     * @param order order of the present history
     * @param offset its offset
     */
    record Waiting(OperatorRecord.RolloutOrder order, long offset) {
        Waiting {
            Objects.requireNonNull(order, "order is null");
        }
    }
}
