package org.masticpaddle.memory;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Number of bytes that several holders share. Whoever holds most loses its bytes when they are used up, so that a peer that sends
 * without end ends its own request and not those of others.
 *
 * <p>Invariants: the reservations never hold more than the capacity together; a reservation that was evicted or closed holds
 * nothing and gets nothing more; each one is evicted at most once. Not thread-safe: used on one event loop.
 */
public final class MemoryBudget {
    private final long capacityBytes;
    private final Set<Reservation> holders = new LinkedHashSet<>();
    private long heldBytes;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param capacityBytes largest number of bytes that may be held, at least 0
     */
    public MemoryBudget(long capacityBytes) {
        if (capacityBytes < 0) {
            throw new IllegalArgumentException("the capacity is negative: " + capacityBytes);
        }
        this.capacityBytes = capacityBytes;
    }

    /**
     * Creates a budget of a part of the heap that this process may use.
     *
     * @param share part of the largest heap, between 0 and 1
     * @return budget of which nothing is held
     */
    public static MemoryBudget ofHeap(double share) {
        return new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * share));
    }

    /**
     * Opens a reservation that holds nothing.
     *
     * @param onEvicted runs if the reservation loses its bytes to others; must drop what it holds
     * @return the reservation, to be closed by its holder
     */
    public Reservation open(Runnable onEvicted) {
        return new Reservation(onEvicted);
    }

    /**
     * Returns what all reservations hold.
     *
     * @return number of bytes, at most the capacity
     */
    public long heldBytes() {
        return heldBytes;
    }

    /** Part of the budget for one holder. Not thread-safe. */
    public final class Reservation {
        private final Runnable onEvicted;
        private long bytes;
        private boolean ended;

        private Reservation(Runnable onEvicted) {
            this.onEvicted = Objects.requireNonNull(onEvicted, "onEvicted is null");
        }

        /**
         * Sets the number of bytes that the holder needs. Evicts the largest reservations, which may be this one, until they fit.
         *
         * @param newBytes number of bytes in all, at least 0
         * @return {@code false} if the reservation has ended or was evicted, so that the holder may keep nothing
         */
        public boolean resize(long newBytes) {
            if (ended) {
                return false;
            }
            if (newBytes == bytes) {
                return true;
            }
            hold(newBytes);
            while (heldBytes > capacityBytes) {
                largest().evict();
            }
            return !ended;
        }

        /** Gives all bytes back for good; has no effect on a reservation that has ended. */
        public void close() {
            if (!ended) {
                hold(0);
                ended = true;
            }
        }

        private void hold(long newBytes) {
            heldBytes += newBytes - bytes;
            bytes = newBytes;
            if (bytes > 0) {
                holders.add(this);
            } else {
                holders.remove(this);
            }
        }

        private void evict() {
            close();
            onEvicted.run();
        }
    }

    private Reservation largest() {
        return holders.stream()
                .max(Comparator.comparingLong(holder -> holder.bytes))
                .orElseThrow();
    }
}
