package org.masticpaddle.memory;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Number of bytes that several holders share. When they are used up, the largest of the holders that are marked as stalled loses
 * its bytes; if none is, the one that has given back bytes least recently of those that hold at least half as much as the largest. A
 * peer that does not read thus goes before one that does, and one that sends without end ends its own request.
 *
 * <p>Invariants: the reservations never hold more than the capacity together; a reservation that was evicted or closed holds
 * nothing and gets nothing more; each one is evicted at most once. Not thread-safe: used on one event loop, except for the numbers of
 * bytes that are held, which any thread may read.
 */
public final class MemoryBudget {
    private final long capacityBytes;
    private final Set<Reservation> holders = new LinkedHashSet<>();
    private final Map<Kind, AtomicLong> heldByKind = new EnumMap<>(Kind.class);
    private long releases;

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
        for (final Kind kind : Kind.values()) {
            heldByKind.put(kind, new AtomicLong());
        }
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
     * @param kind what is held
     * @param onEvicted runs if the reservation loses its bytes to others; must drop what it holds
     * @return the reservation, to be closed by its holder
     */
    public Reservation open(Kind kind, Runnable onEvicted) {
        return new Reservation(kind, onEvicted);
    }

    /**
     * Returns what all reservations hold.
     *
     * @return number of bytes, at most the capacity
     */
    public long heldBytes() {
        return heldByKind.values().stream().mapToLong(AtomicLong::get).sum();
    }

    /**
     * Returns what all reservations of one kind hold.
     *
     * @param kind what is held
     * @return number of bytes
     */
    public long heldBytes(Kind kind) {
        return heldByKind.get(kind).get();
    }

    /** What the bytes of a reservation are. */
    public enum Kind {
        /** Parts of answers that cannot be sent to the caller before more of them has arrived. */
        COLLECTED,
        /** Bytes for a caller that its connection has not taken. */
        QUEUED
    }

    /** Part of the budget for one holder. Not thread-safe. */
    public final class Reservation {
        private final Kind kind;
        private final Runnable onEvicted;
        private long bytes;
        /** Number of releases of all holders at the last one of this holder, or at its opening. */
        private long lastRelease;

        private boolean stalled;
        private boolean ended;

        private Reservation(Kind kind, Runnable onEvicted) {
            this.kind = Objects.requireNonNull(kind, "kind is null");
            lastRelease = releases++;
            this.onEvicted = Objects.requireNonNull(onEvicted, "onEvicted is null");
        }

        /**
         * Sets the number of bytes that the holder needs. Evicts large reservations, which may be this one, until they fit.
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
            while (heldBytes() > capacityBytes) {
                nextToEvict().evict();
            }
            return !ended;
        }

        /**
         * Marks whether the holder waits for a peer that takes nothing, so that it goes first if bytes are needed.
         *
         * @param newStalled whether it does
         */
        public void markStalled(boolean newStalled) {
            stalled = newStalled;
        }

        /** Gives all bytes back for good; has no effect on a reservation that has ended. */
        public void close() {
            if (!ended) {
                hold(0);
                ended = true;
            }
        }

        private void hold(long newBytes) {
            heldByKind.get(kind).addAndGet(newBytes - bytes);
            if (newBytes < bytes) {
                lastRelease = releases++;
            }
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

    private Reservation nextToEvict() {
        final Optional<Reservation> largestStalled =
                holders.stream().filter(holder -> holder.stalled).max(Comparator.comparingLong(holder -> holder.bytes));
        if (largestStalled.isPresent()) {
            return largestStalled.get();
        }
        final long largest =
                holders.stream().mapToLong(holder -> holder.bytes).max().orElseThrow();
        return holders.stream()
                .filter(holder -> holder.bytes >= largest - largest / 2)
                .min(Comparator.comparingLong(holder -> holder.lastRelease))
                .orElseThrow();
    }
}
