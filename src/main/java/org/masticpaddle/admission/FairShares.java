package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Shares of the organisations in what a gateway gets done of one service: max-min fair over the organisations that were active in
 * the last seconds.
 *
 * <p>Load pattern: one organisation sends many times its usual load and would take the room of all others. Invariants: the shares
 * add up to no more than the capacity; what an organisation does not ask for is lent to the others, and since shares follow from
 * the recent demand, it is returned as soon as the organisation asks for it. Each gateway divides only its own part, so that no
 * messages between gateways are needed. Not thread-safe: used on the owner's thread only.
 */
public final class FairShares {
    /** Time constant of the rates; an organisation counts as active for about this time. */
    private static final long TIME_CONSTANT_NANOS = 2_000_000_000L;
    /** Recent completions below which the capacity is not known, so that no organisation exceeds its share. */
    private static final double MIN_COMPLETIONS = 8;
    /** Demand below which an organisation is forgotten, relative to one unit of work in a second. */
    private static final double FORGOTTEN_RATE = 1e-3;
    /** Number of organisations from which inactive ones are removed. */
    private static final int PRUNED_SIZE = 64;

    private final Map<String, Usage> usages = new HashMap<>();
    private final DecayingRate completed = new DecayingRate(TIME_CONSTANT_NANOS);
    private final DecayingRate completions = new DecayingRate(TIME_CONSTANT_NANOS);
    private Optional<Snapshot> snapshot = Optional.empty();

    /** Creates shares without observations. */
    public FairShares() {}

    /**
     * Records a request that has arrived, whether or not it is sent.
     *
     * @param organisation organisation that pays for it
     * @param work expected work
     * @param now current time in nanoseconds
     */
    public void offer(String organisation, double work, long now) {
        if (usages.size() >= PRUNED_SIZE) {
            usages.values().removeIf(usage -> usage.offered.perSecond(now) < FORGOTTEN_RATE);
        }
        usages.computeIfAbsent(organisation, name -> new Usage()).offer(work, now);
        snapshot = Optional.empty();
    }

    /**
     * Records a request that is sent to an upstream.
     *
     * @param organisation organisation that pays for it
     * @param rank its rank
     * @param work expected work
     * @param now current time in nanoseconds
     */
    public void send(String organisation, int rank, double work, long now) {
        usages.computeIfAbsent(organisation, name -> new Usage()).send(rank, work, now);
        snapshot = Optional.empty();
    }

    /**
     * Takes back a request that was not run after all.
     *
     * @param organisation organisation that {@link #send} was called with
     * @param rank its rank
     * @param work its expected work
     * @param sentNanos time of the call of {@link #send} in nanoseconds
     * @param now current time in nanoseconds
     */
    public void refund(String organisation, int rank, double work, long sentNanos, long now) {
        final Usage usage = usages.get(organisation);
        if (usage != null) {
            usage.refund(rank, work * Math.exp((double) (sentNanos - now) / TIME_CONSTANT_NANOS), now);
            snapshot = Optional.empty();
        }
    }

    /**
     * Records that upstreams have completed a request.
     *
     * @param work its expected work
     * @param now current time in nanoseconds
     */
    public void complete(double work, long now) {
        completed.add(work, now);
        completions.add(1, now);
        snapshot = Optional.empty();
    }

    /**
     * Returns the work that upstreams complete for this gateway.
     *
     * @param now current time in nanoseconds
     * @return moving average in units of work a second
     */
    public double capacity(long now) {
        return completed.perSecond(now);
    }

    /**
     * Returns whether enough requests were completed recently to know the capacity.
     *
     * @param now current time in nanoseconds
     * @return {@code false} after a start and after a quiet spell
     */
    public boolean capacityKnown(long now) {
        return completions.perSecond(now) * TIME_CONSTANT_NANOS / 1e9 >= MIN_COMPLETIONS;
    }

    /**
     * Returns the share of an organisation: its demand, or the fair rate if that is lower.
     *
     * @param organisation organisation
     * @param now current time in nanoseconds
     * @return units of work a second
     */
    public double share(String organisation, long now) {
        final Usage usage = usages.get(organisation);
        return usage == null ? 0 : Math.min(usage.offered.perSecond(now), snapshot(now).fairRate);
    }

    /**
     * Returns whether an organisation has recently got more than its share, while another active one got no more than its own, so
     * that the further requests of the former come last. Its less urgent requests do not count against its more urgent ones.
     *
     * @param organisation organisation; requests of none (empty text) are not compared
     * @param rank rank of its next request
     * @param now current time in nanoseconds
     * @return {@code false} also if the capacity is not known
     */
    public boolean exceeded(String organisation, int rank, long now) {
        return !organisation.isEmpty()
                && excessRatio(organisation, rank, now) > 1
                && snapshot(now).anyWithin(rank);
    }

    /**
     * Returns the time after which an organisation that sends nothing more is within its share again.
     *
     * @param organisation organisation
     * @param rank rank of its next request
     * @param now current time in nanoseconds
     * @return milliseconds, 0 if it is within its share
     */
    public double millisUntilWithin(String organisation, int rank, long now) {
        return Math.log(Math.max(1, excessRatio(organisation, rank, now))) * TIME_CONSTANT_NANOS / 1e6;
    }

    /** Returns the ratio of what an organisation got before its last request to its share, 0 if the capacity is not known. */
    private double excessRatio(String organisation, int rank, long now) {
        final Usage usage = usages.get(organisation);
        return usage == null || !capacityKnown(now)
                ? 0
                : usage.sentBeforeLast(rank, now) / Math.max(Double.MIN_NORMAL, snapshot(now).fairRate);
    }

    private Snapshot snapshot(long now) {
        if (snapshot.isEmpty() || snapshot.get().nanos != now) {
            snapshot = Optional.of(new Snapshot(now, fairRate(now)));
        }
        return snapshot.get();
    }

    /** Returns the rate that no share exceeds: all demands cut off at it add up to the capacity. */
    private double fairRate(long now) {
        final double[] demands = usages.values().stream()
                .mapToDouble(usage -> usage.offered.perSecond(now))
                .sorted()
                .toArray();
        double left = capacity(now);
        for (int index = 0; index < demands.length; index++) {
            final double equalPart = left / (demands.length - index);
            if (demands[index] > equalPart) {
                return equalPart;
            }
            left -= demands[index];
        }
        return Double.MAX_VALUE;
    }

    /**
     * What follows from all organisations at one time, computed once for the decisions on all requests that wait. Not
     * thread-safe.
     */
    private final class Snapshot {
        private final long nanos;
        private final double fairRate;
        private final Map<Integer, Boolean> anyWithinByRank = new HashMap<>();

        Snapshot(long nanos, double fairRate) {
            this.nanos = nanos;
            this.fairRate = fairRate;
        }

        /** Returns whether an active organisation has got no more than its share. */
        boolean anyWithin(int rank) {
            return anyWithinByRank.computeIfAbsent(
                    rank,
                    each -> usages.entrySet().stream()
                            .anyMatch(entry -> !entry.getKey().isEmpty()
                                    && entry.getValue().active(nanos)
                                    && entry.getValue().sentBeforeLast(rank, nanos) <= fairRate));
        }
    }

    /** Recent demand of one organisation and what it got. Not thread-safe. */
    private static final class Usage {
        private final DecayingRate offered = new DecayingRate(TIME_CONSTANT_NANOS);
        private final Map<Integer, DecayingRate> sentByRank = new HashMap<>();
        private final DecayingRate lastSent = new DecayingRate(TIME_CONSTANT_NANOS);
        private long offeredNanos = Long.MIN_VALUE / 2;

        void offer(double work, long now) {
            offered.add(work, now);
            offeredNanos = now;
        }

        boolean active(long now) {
            return now - offeredNanos < TIME_CONSTANT_NANOS;
        }

        void send(int rank, double work, long now) {
            sentByRank
                    .computeIfAbsent(rank, each -> new DecayingRate(TIME_CONSTANT_NANOS))
                    .add(work, now);
            lastSent.replace(work, now);
        }

        void refund(int rank, double work, long now) {
            final DecayingRate sent = sentByRank.get(rank);
            if (sent != null) {
                sent.remove(work, now);
            }
        }

        /** Returns the rate of what was sent of the given and more urgent ranks, but for one request of the last size. */
        double sentBeforeLast(int rank, long now) {
            return sentByRank.entrySet().stream()
                            .filter(entry -> entry.getKey() <= rank)
                            .mapToDouble(entry -> entry.getValue().perSecond(now))
                            .sum()
                    - lastSent.perSecond(now);
        }
    }
}
