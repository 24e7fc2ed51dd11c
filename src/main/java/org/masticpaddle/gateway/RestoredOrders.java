package org.masticpaddle.gateway;

import java.time.Duration;
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
 * <p>Invariants: the first order of a service that names the version of the rollout known before continues that rollout; one that
 * names another version may be an older one of the copy, so that it waits until the operator has had the time to write the known one
 * again. Performs no input or output. Not thread-safe: used on the event loop only.
 */
final class RestoredOrders {
    private final long rewriteNanos;
    private final Set<String> awaited = new HashSet<>();
    private final Map<String, Waiting> waiting = new HashMap<>();

    /**
     * Creates a component for a log that was not restored.
     *
     * @param rewriteTime time within which the operator writes lost orders again
     */
    RestoredOrders(Duration rewriteTime) {
        rewriteNanos = rewriteTime.toNanos();
    }

    /** Records that the services' orders belong to a history that is gone. */
    void onHistoryReplaced(Set<String> services) {
        awaited.addAll(services);
    }

    /**
     * Decides what an order means.
     *
     * @param order order of the present history
     * @param offset its offset
     * @param knownVersion version of the rollout of the service, empty if there is none
     * @param now current time in nanoseconds
     */
    Effect onOrder(OperatorRecord.RolloutOrder order, long offset, Optional<String> knownVersion, long now) {
        waiting.remove(order.service());
        if (!awaited.contains(order.service()) || knownVersion.isEmpty()) {
            awaited.remove(order.service());
            return Effect.START;
        }
        if (knownVersion.get().equals(order.version())) {
            awaited.remove(order.service());
            return Effect.CONTINUE;
        }
        waiting.put(order.service(), new Waiting(order, offset, now + rewriteNanos));
        return Effect.WAIT;
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

    /** Removes and returns the orders that have waited long enough. */
    List<Waiting> due(long now) {
        final List<Waiting> due = waiting.values().stream()
                .filter(order -> now >= order.untilNanos)
                .toList();
        due.forEach(order -> onWithdrawal(order.order.service()));
        return due;
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
     * @param untilNanos time until which it has no effect
     */
    record Waiting(OperatorRecord.RolloutOrder order, long offset, long untilNanos) {
        Waiting {
            Objects.requireNonNull(order, "order is null");
        }
    }
}
