package org.masticpaddle.memory;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Owner of the memory that the bodies of requests take: divides a fixed number of bytes among the requests that hold them and
 * decides which of those that wait gets the bytes that become free.
 *
 * <p>Order: a request that holds bytes and needs more comes first, since others can only wait for it. Small requests are served
 * apart from large ones, with a part of the bytes that large ones never get; the rest is lent to them while no large request
 * waits. Of the organisations that wait, the one comes first that would hold least; within an organisation, a request overtakes
 * a larger one unless that has waited longer by a time that is proportional to the difference of their sizes.
 *
 * <p>Invariants: all requests together never hold more than the capacity; what a reservation holds is given back exactly once;
 * no request waits whose bytes are free and whose turn it is; requests that hold bytes never all wait for each other, since the
 * one that came last is refused then. Not thread-safe: used on one event loop, except {@link #heldBytes()} and
 * {@link #waiting()}, which any thread may call.
 */
public final class RequestMemory {
    /** Largest request that is small. */
    public static final long MAX_SMALL_BYTES = 64 * 1024;

    /** Part of the capacity that large requests never get is one divided by this. */
    private static final long SMALL_SHARE_DIVISOR = 16;
    /** Memory of a request that waits: its head, and what the server has read together with the head. */
    private static final long WAITING_BYTES = 32 * 1024;
    /** Time by which a larger request must have waited longer, for each byte of the difference; about 1 s for 1 MB. */
    private static final long AGING_NANOS_PER_BYTE = 1_000;

    private final long capacityBytes;
    private final long smallBytes;
    private final int maxWaiting;
    private final Map<Lane, Queue> queues = new EnumMap<>(Lane.class);
    private final Map<Kind, Long> heldByKind = new EnumMap<>(Kind.class);
    private final Map<String, Long> heldByOrganisation = new HashMap<>();
    private final TreeSet<Reservation> growing =
            new TreeSet<>(Comparator.comparingLong(reservation -> reservation.number));
    private long growingBytes;
    private long numbers;
    private volatile long heldBytes;
    private volatile int waiting;

    /**
     * Creates an owner of memory of which nothing is held.
     *
     * @param capacityBytes largest number of bytes that all requests may hold together, at least 0
     */
    public RequestMemory(long capacityBytes) {
        if (capacityBytes < 0) {
            throw new IllegalArgumentException("the capacity is negative: " + capacityBytes);
        }
        this.capacityBytes = capacityBytes;
        smallBytes = capacityBytes / SMALL_SHARE_DIVISOR;
        maxWaiting = (int) Math.min(Integer.MAX_VALUE, capacityBytes / WAITING_BYTES);
        for (final Lane lane : Lane.values()) {
            queues.put(lane, new Queue());
        }
        for (final Kind kind : Kind.values()) {
            heldByKind.put(kind, 0L);
        }
    }

    /**
     * Creates an owner of a part of the heap that this process may use.
     *
     * @param share part of the largest heap, between 0 and 1
     * @return owner of memory of which nothing is held
     */
    public static RequestMemory ofHeap(double share) {
        return new RequestMemory((long) (Runtime.getRuntime().maxMemory() * share));
    }

    /**
     * Opens a reservation that holds nothing.
     *
     * @param organisation organisation of the caller, or what else callers are told apart by
     * @param listener informed of the outcome if the request has to wait
     * @return the reservation, to be closed by its holder
     */
    public Reservation open(String organisation, Listener listener) {
        return new Reservation(organisation, listener);
    }

    /**
     * Returns what all requests hold.
     *
     * @return number of bytes, at most the capacity
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns what all requests hold of one kind.
     *
     * @param kind state of the bodies
     * @return number of bytes
     */
    public long heldBytes(Kind kind) {
        return heldByKind.get(kind);
    }

    /**
     * Returns how many requests wait for bytes.
     *
     * @return number of requests, those included that hold bytes and need more
     */
    public int waiting() {
        return waiting;
    }

    private long limit(Lane lane) {
        return lane == Lane.LARGE ? capacityBytes - smallBytes : capacityBytes;
    }

    private boolean fits(Reservation reservation) {
        if (heldBytes - reservation.bytes + reservation.wanted > capacityBytes) {
            return false;
        }
        final Lane lane = Lane.of(reservation.wanted);
        final long inLane = queues.get(lane).heldBytes
                - (Lane.of(reservation.bytes) == lane ? reservation.bytes : 0)
                + reservation.wanted;
        if (lane == Lane.LARGE) {
            return inLane <= limit(Lane.LARGE);
        }
        return queues.get(Lane.LARGE).waiting == 0 || inLane <= smallBytes;
    }

    private void grantWaiting() {
        while (true) {
            final Optional<Reservation> next = nextToGrant();
            if (next.isPresent()) {
                next.get().grant();
            } else if (!growing.isEmpty() && growingBytes == heldBytes) {
                growing.last().refuse();
            } else {
                return;
            }
        }
    }

    private Optional<Reservation> nextToGrant() {
        final Optional<Reservation> grower = growing.stream().filter(this::fits).findFirst();
        if (grower.isPresent()) {
            return grower;
        }
        final Optional<Reservation> small = queues.get(Lane.SMALL).first().filter(this::fits);
        if (small.isPresent() || growing.stream().anyMatch(waiter -> Lane.of(waiter.wanted) == Lane.LARGE)) {
            return small;
        }
        return queues.get(Lane.LARGE).first().filter(this::fits);
    }

    /** Sizes of requests that are served apart from each other. */
    private enum Lane {
        SMALL,
        LARGE;

        static Lane of(long bytes) {
            return bytes <= MAX_SMALL_BYTES ? SMALL : LARGE;
        }
    }

    /** State of the bodies of requests. */
    public enum Kind {
        /** The body is being read. */
        READING,
        /** The body was read and is kept for as long as the request may be sent to an upstream. */
        KEPT
    }

    /** Outcome of asking for bytes. */
    public enum Outcome {
        /** The bytes are held. */
        GRANTED,
        /** The bytes may be held later; the listener is told. */
        WAITING,
        /** The bytes cannot be held; the reservation is closed. */
        REFUSED
    }

    /** Receives the outcome of a reservation that had to wait. Called from within other calls; must not block. */
    public interface Listener {
        /** Called when the bytes are held. */
        void onGranted();

        /** Called when the bytes cannot be held, and the reservation is closed. */
        void onRefused();
    }

    /** Requests that wait for the bytes of one lane and hold none. */
    private final class Queue {
        private final Map<String, TreeSet<Reservation>> byOrganisation = new HashMap<>();
        private long heldBytes;
        /** Requests of this lane that wait, those included that hold bytes. */
        private int waiting;

        private void add(Reservation reservation) {
            byOrganisation
                    .computeIfAbsent(
                            reservation.organisation,
                            key -> new TreeSet<>(Comparator.<Reservation>comparingLong(waiter -> waiter.dueNanos)
                                    .thenComparingLong(waiter -> waiter.number)))
                    .add(reservation);
        }

        private void remove(Reservation reservation) {
            final TreeSet<Reservation> waiters = byOrganisation.get(reservation.organisation);
            if (waiters != null && waiters.remove(reservation) && waiters.isEmpty()) {
                byOrganisation.remove(reservation.organisation);
            }
        }

        private Optional<Reservation> first() {
            return byOrganisation.values().stream()
                    .map(TreeSet::first)
                    .min(Comparator.<Reservation>comparingLong(
                                    waiter -> heldByOrganisation.getOrDefault(waiter.organisation, 0L) + waiter.wanted)
                            .thenComparingLong(waiter -> waiter.number));
        }
    }

    /** Bytes of one request. Not thread-safe. */
    public final class Reservation {
        private final String organisation;
        private final Listener listener;
        private Kind kind = Kind.READING;
        private State state = State.IDLE;
        private long bytes;
        private long wanted;
        private long number;
        private long dueNanos;
        private boolean asking;

        private Reservation(String organisation, Listener listener) {
            this.organisation = Objects.requireNonNull(organisation, "organisation is null");
            this.listener = Objects.requireNonNull(listener, "listener is null");
        }

        /**
         * Asks for bytes. The listener is called only if the outcome is {@link Outcome#WAITING}.
         *
         * @param newBytes number of bytes in all, at least as many as are held
         * @param nowNanos current time by a clock that never decreases
         * @return what became of it
         */
        public Outcome ask(long newBytes, long nowNanos) {
            if (state == State.CLOSED) {
                return Outcome.REFUSED;
            }
            if (state == State.WAITING || newBytes < bytes) {
                throw new IllegalStateException(
                        "the reservation waits, or would shrink from " + bytes + " to " + newBytes);
            }
            if (newBytes > limit(Lane.of(newBytes))) {
                close();
                return Outcome.REFUSED;
            }
            wanted = newBytes;
            number = numbers++;
            dueNanos = nowNanos + newBytes * AGING_NANOS_PER_BYTE;
            startWaiting();
            asking = true;
            grantWaiting();
            asking = false;
            if (state == State.WAITING && bytes == 0 && waiting > maxWaiting) {
                close();
            }
            return switch (state) {
                case WAITING -> Outcome.WAITING;
                case CLOSED -> Outcome.REFUSED;
                default -> Outcome.GRANTED;
            };
        }

        /**
         * Marks the body as read.
         *
         * @param size size of the body; what is held beyond it is given back
         */
        public void keep(long size) {
            if (state == State.CLOSED) {
                return;
            }
            hold(0);
            kind = Kind.KEPT;
            hold(size);
            grantWaiting();
        }

        /** Gives all bytes back for good, also while the reservation waits; has no effect on one that is closed. */
        public void close() {
            if (state == State.CLOSED) {
                return;
            }
            if (state == State.WAITING) {
                stopWaiting();
            }
            state = State.CLOSED;
            hold(0);
            grantWaiting();
        }

        private void startWaiting() {
            state = State.WAITING;
            waiting++;
            queues.get(Lane.of(wanted)).waiting++;
            if (bytes > 0) {
                growing.add(this);
                growingBytes += bytes;
            } else {
                queues.get(Lane.of(wanted)).add(this);
            }
        }

        private void stopWaiting() {
            state = State.IDLE;
            waiting--;
            queues.get(Lane.of(wanted)).waiting--;
            if (growing.remove(this)) {
                growingBytes -= bytes;
            } else {
                queues.get(Lane.of(wanted)).remove(this);
            }
        }

        private void grant() {
            stopWaiting();
            hold(wanted);
            if (!asking) {
                listener.onGranted();
            }
        }

        private void refuse() {
            stopWaiting();
            state = State.CLOSED;
            hold(0);
            if (!asking) {
                listener.onRefused();
            }
        }

        private void hold(long newBytes) {
            final long difference = newBytes - bytes;
            queues.get(Lane.of(bytes)).heldBytes -= bytes;
            queues.get(Lane.of(newBytes)).heldBytes += newBytes;
            heldBytes += difference;
            heldByKind.merge(kind, difference, Long::sum);
            if (heldByOrganisation.merge(organisation, difference, Long::sum) == 0) {
                heldByOrganisation.remove(organisation);
            }
            bytes = newBytes;
        }
    }

    /** State of a reservation. */
    private enum State {
        IDLE,
        WAITING,
        CLOSED
    }
}
