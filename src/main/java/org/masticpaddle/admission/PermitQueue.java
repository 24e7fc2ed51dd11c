package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Requests that wait because all their upstreams are limited, the most urgent first, then in order of arrival.
 *
 * <p>Not thread-safe: used on the owner's thread only.
 */
public final class PermitQueue {
    private final TreeSet<Ticket> tickets =
            new TreeSet<>(Comparator.comparingInt(Ticket::rank).thenComparingLong(Ticket::number));
    private long nextNumber;

    /** Creates an empty queue. */
    public PermitQueue() {}

    /**
     * Adds a request.
     *
     * @param rank rank of the request, 0 is the most urgent
     * @return its place, to be given back when it no longer waits
     */
    public Ticket enter(int rank) {
        final Ticket ticket = new Ticket(rank, nextNumber++);
        tickets.add(ticket);
        return ticket;
    }

    /**
     * Removes a request.
     *
     * @param ticket place that {@link #enter} returned
     */
    public void leave(Ticket ticket) {
        tickets.remove(Objects.requireNonNull(ticket, "ticket is null"));
    }

    /**
     * Returns the number of requests ahead of one.
     *
     * @param ticket place that {@link #enter} returned
     * @return number of requests that get a permit before it
     */
    public int ahead(Ticket ticket) {
        return tickets.headSet(ticket).size();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests that entered and have not left
     */
    public int size() {
        return tickets.size();
    }

    /**
     * Place of a request in the queue. Immutable.
     *
     * @param rank rank of the request, 0 is the most urgent
     * @param number position in the order of arrival
     */
    public record Ticket(int rank, long number) {}
}
