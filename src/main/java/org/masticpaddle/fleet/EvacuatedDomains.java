package org.masticpaddle.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Failure domains that the operator has evacuated, built by applying the orders and withdrawals of a log.
 *
 * <p>Load pattern: the log is listed again after an outage, so that records may be applied twice or after later ones. Invariants:
 * the record of a domain with the highest offset in the present history of the log applies, in whatever order records arrive; a
 * record of the present history applies before one of an earlier history; at most {@link #MAX_DOMAINS} domains
 * are kept, of which those with an order are never dropped for others. Not thread-safe: confined to the thread of its owner.
 */
public final class EvacuatedDomains {
    /** Largest number of domains that are kept, withdrawn orders included. */
    static final int MAX_DOMAINS = 1_024;

    /** Stands for the offset of an order in an earlier history of the log; lower than any offset. */
    private static final long EARLIER_HISTORY = Long.MIN_VALUE;

    private final Map<String, Order> newestOrders = new LinkedHashMap<>();

    /** Creates a set without orders. */
    public EvacuatedDomains() {}

    /**
     * Applies an order to evacuate a domain.
     *
     * @param domain name of the failure domain, which need not have upstreams
     * @param offset offset of the record in the log
     * @return effect of the order
     */
    public EvacuationChange order(String domain, long offset) {
        return apply(domain, new Order(offset, true));
    }

    /**
     * Applies the withdrawal of an order.
     *
     * @param domain name of the failure domain
     * @param offset offset of the record in the log
     * @return effect of the withdrawal
     */
    public EvacuationChange withdraw(String domain, long offset) {
        return apply(domain, new Order(offset, false));
    }

    /** Records that the log has begun another history, whose offsets must not be compared with those of the present one. */
    void beginHistory() {
        newestOrders.replaceAll((domain, order) -> new Order(EARLIER_HISTORY, order.inForce));
    }

    private EvacuationChange apply(String domain, Order newest) {
        Objects.requireNonNull(domain, "domain is null");
        final Order previous = newestOrders.get(domain);
        if (previous != null && previous.offset >= newest.offset) {
            return previous.equals(newest) ? EvacuationChange.UNCHANGED : EvacuationChange.STALE;
        }
        if (previous == null && newestOrders.size() >= MAX_DOMAINS && !removeEldestWithdrawn()) {
            return newest.inForce ? EvacuationChange.TOO_MANY : EvacuationChange.UNCHANGED;
        }
        // Removed first, so that the domain becomes the newest one in the order of iteration.
        newestOrders.remove(domain);
        newestOrders.put(domain, newest);
        if (newest.inForce == (previous != null && previous.inForce)) {
            return EvacuationChange.UNCHANGED;
        }
        return newest.inForce ? EvacuationChange.ORDERED : EvacuationChange.WITHDRAWN;
    }

    private boolean removeEldestWithdrawn() {
        final Iterator<Order> orders = newestOrders.values().iterator();
        while (orders.hasNext()) {
            if (!orders.next().inForce) {
                orders.remove();
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a domain is evacuated.
     *
     * @param domain name of a failure domain
     * @return {@code true} from its order until the withdrawal
     */
    public boolean contains(String domain) {
        final Order order = newestOrders.get(domain);
        return order != null && order.inForce;
    }

    /**
     * Returns the evacuated domains.
     *
     * @return names in alphabetical order, those of domains without upstreams included
     */
    public Set<String> names() {
        final Set<String> names = new TreeSet<>();
        newestOrders.forEach((domain, order) -> {
            if (order.inForce) {
                names.add(domain);
            }
        });
        return names;
    }

    private record Order(long offset, boolean inForce) {}
}
