package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Requests that wait at a gateway for a service under pressure.
 *
 * <p>Order: organisations within their shares first, then by rank, then by the time at which the objective is missed. A request
 * that has used up half of the time that it may wait gains one rank, and never more than one, so that less urgent requests get
 * their turn without displacing urgent work. Not thread-safe: used on the owner's thread only.
 */
final class WaitingLine {
    private final Set<Place> places = new HashSet<>();
    private long nextNumber;

    /** Creates the place of a request, outside the line until it {@linkplain #enter enters}. */
    Place place(AdmissionCandidate candidate, boolean earlyRepeat) {
        return new Place(candidate, earlyRepeat, nextNumber++);
    }

    void enter(Place place) {
        places.add(place);
    }

    void leave(Place place) {
        places.remove(place);
    }

    boolean contains(Place place) {
        return places.contains(place);
    }

    int size() {
        return places.size();
    }

    void forEach(Consumer<Place> action) {
        places.forEach(action);
    }

    /** Returns the number of waiting requests that precede one, whether or not it is in the line. */
    int ahead(Place place, long now) {
        final Comparator<Place> order = order(now);
        return (int) places.stream()
                .filter(other -> other != place && order.compare(other, place) < 0)
                .count();
    }

    /** Returns whether a waiting request precedes one and would be sent after the same time in a queue. */
    boolean hasClaimantAhead(Place place, double queueMillis, long now) {
        final Comparator<Place> order = order(now);
        return places.stream()
                .anyMatch(other -> other != place
                        && queueMillis + other.serviceMillis <= other.limitMillis
                        && order.compare(other, place) < 0);
    }

    private static Comparator<Place> order(long now) {
        return Comparator.<Place, Standing>comparing(place -> place.standing)
                .thenComparingInt(place -> place.agedRank(now))
                .thenComparingDouble(place -> place.objectiveEndMillis)
                .thenComparingLong(place -> place.number);
    }

    /** Place of one request. Not thread-safe; compared by identity. */
    static final class Place {
        private final AdmissionCandidate candidate;
        private final boolean earlyRepeat;
        private final long number;
        private final double objectiveEndMillis;
        private Standing standing = Standing.WITHIN_SHARE;
        private double limitMillis;
        private double serviceMillis;

        private Place(AdmissionCandidate candidate, boolean earlyRepeat, long number) {
            this.candidate = candidate;
            this.earlyRepeat = earlyRepeat;
            this.number = number;
            objectiveEndMillis = candidate.arrivalNanos() / 1e6 + candidate.objectiveMillis();
        }

        AdmissionCandidate candidate() {
            return candidate;
        }

        /** Returns whether the caller has come back sooner after a rejection than it was asked to. */
        boolean earlyRepeat() {
            return earlyRepeat;
        }

        Standing standing() {
            return standing;
        }

        double limitMillis() {
            return limitMillis;
        }

        /** Replaces the standing and the expected time up to which the request would be sent. */
        void update(Standing newStanding, double newLimitMillis) {
            standing = newStanding;
            limitMillis = newLimitMillis;
        }

        /** Replaces the time for which an upstream works on the request. */
        void updateService(double newServiceMillis) {
            serviceMillis = newServiceMillis;
        }

        private int agedRank(long now) {
            return candidate.waitedMillis(now) * 2 >= candidate.maxWaitMillis()
                    ? candidate.rank() - 1
                    : candidate.rank();
        }
    }
}
