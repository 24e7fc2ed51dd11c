package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Decides, for the requests of one service at one gateway, which one is sent now, waits or is rejected.
 *
 * <p>Load pattern: more work than the upstreams can begin in time. Sent on at once, it would stand in the queues of upstreams,
 * where nobody can reorder it, and would be late for all callers. Invariants:
 *
 * <ul>
 *   <li>while the upstreams have room, or the service is not under pressure, organisations are not compared, and each request
 *       whose answer can start within half of its time is sent at once;
 *   <li>a request is sent if its answer is expected to start in time: within the objective, or within twice the
 *       objective and half of the time left if its organisation is within its share and no other kind of its rank is rejected as
 *       late; within half of the objective if its organisation is above its share, so that work of the others always finds room;
 *   <li>no request is rejected while the upstream that would get it has a free place and its answer could start in its time;
 *   <li>a request waits for an eighth of its objective at most, and only if it could still be sent by then;
 *   <li>while a more urgent kind of request is rejected, a less urgent one gets no queued place;
 *   <li>a request that waits ends exactly once: by {@link Ticket#close}.
 * </ul>
 *
 * Not thread-safe: used on the owner's thread only.
 */
public final class ServiceAdmission {
    /** Time for which a rejection of an urgent request holds back less urgent ones. */
    private static final long URGENT_REJECTION_NANOS = 250_000_000L;
    /** Fraction of this gateway's places up to which requests wait here. */
    private static final double MAX_WAITING_FRACTION = 0.25;
    /** Number up to which requests wait here, whatever the number of places. */
    private static final int MAX_WAITING = 16;
    /** Number of requests that may wait here, however small this gateway's part of the places is. */
    private static final int MIN_WAITING = 4;
    /** Shortest and longest time until a waiting request is decided on again. */
    private static final double MIN_RECHECK_MILLIS = 5;

    private static final double MAX_RECHECK_MILLIS = 40;
    /** Part of the longest wait after which a waiting request is decided on again. */
    private static final double RECHECK_FRACTION = 0.25;
    /** Shortest time after which the caller of a rejected request is asked to return. */
    private static final double MIN_RETURN_MILLIS = 1;
    /** Fraction of the time left within which the caller of a rejected request is asked to return, spread included. */
    private static final double MAX_RETURN_FRACTION = 1.0 / 3;
    /** Time that lies before all others; differences to it do not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final FairShares shares = new FairShares();
    private final StartErrors errors = new StartErrors();
    private final WaitingLine line = new WaitingLine();
    private final EarlyRepeats repeats = new EarlyRepeats();
    private final DecayingRate rejectedWork = new DecayingRate(1_000_000_000L);
    private final Map<String, LateRejection> lateRejections = new HashMap<>();
    private final Map<String, Map<Integer, Long>> shareRejections = new HashMap<>();
    private final Pressure pressure = new Pressure();

    /** Creates the admission of a service that nothing is known of. */
    public ServiceAdmission() {}

    /**
     * Adds a request that has arrived.
     *
     * @param candidate request
     * @param now current time in nanoseconds
     * @return its ticket, to be closed at the end of the request
     */
    public Ticket open(AdmissionCandidate candidate, long now) {
        Objects.requireNonNull(candidate, "candidate is null");
        shares.offer(candidate.organisation(), candidate.work(), now);
        return new Ticket(line.place(candidate, repeats.early(candidate.session(), now)));
    }

    /**
     * Returns the ratio of the observed to the expected time until answers start, by which a forecast is to be corrected.
     *
     * @param rank rank of the request
     * @param now current time in nanoseconds
     * @return ratio, 1 if nothing is known
     */
    public double startRatio(int rank, long now) {
        return errors.ratio(rank, now);
    }

    /**
     * Records that an upstream rejected a request for lack of room.
     *
     * @param now current time in nanoseconds
     */
    public void onUpstreamRejected(long now) {
        pressure.onUpstreamRejected(now);
    }

    /**
     * Returns whether an organisation is to do with less, because the service is under pressure and it is above its share.
     *
     * @param organisation organisation
     * @param rank rank of its request
     * @param now current time in nanoseconds
     * @return {@code true} if it should not take more work than necessary, such as a larger model
     */
    public boolean restrains(String organisation, int rank, long now) {
        return pressure.pressed(now) && shares.exceeded(organisation, rank, now);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return number of open tickets in the line
     */
    public int waiting() {
        return line.size();
    }

    private Verdict decide(WaitingLine.Place place, ServiceForecast forecast, long now) {
        final AdmissionCandidate candidate = place.candidate();
        if (!line.contains(place)) {
            pressure.observe(forecast.startMillis(), candidate.objectiveMillis(), now);
        }
        if (forecast.idle()) {
            return Verdict.Send.INSTANCE;
        }
        classify(place, forecast, now);
        line.forEach(other -> {
            if (other != place) {
                // The free place is one for this request; another one may get a different upstream.
                classify(other, forecast.withoutPlace(), now);
            }
        });
        final double limitMillis = place.limitMillis();
        final double waitLeftMillis = candidate.waitLeftMillis(now);
        final double excessMillis = forecast.startMillis() - limitMillis;
        final boolean mayWait = waitLeftMillis >= 1 && line.ahead(place, now) < maxWaiting(forecast);
        if (excessMillis <= 0) {
            return mayWait && line.hasClaimantAhead(place, forecast.startMillis() - forecast.serviceMillis(), now)
                    ? new Verdict.Wait(recheckMillis(candidate, waitLeftMillis))
                    : Verdict.Send.INSTANCE;
        }
        return mayWait && excessMillis < waitLeftMillis
                ? new Verdict.Wait(recheckMillis(candidate, waitLeftMillis))
                : reject(place, forecast, now);
    }

    private void classify(WaitingLine.Place place, ServiceForecast forecast, long now) {
        final AdmissionCandidate candidate = place.candidate();
        final Standing standing = pressure.pressed(now) && place.earlyRepeat()
                        || restrains(candidate.organisation(), candidate.rank(), now)
                ? Standing.ABOVE_SHARE
                : Standing.WITHIN_SHARE;
        place.update(standing, limitMillis(candidate, standing, forecast, now));
    }

    private double limitMillis(AdmissionCandidate candidate, Standing standing, ServiceForecast forecast, long now) {
        final boolean restricted =
                standing == Standing.ABOVE_SHARE && pressure.upstreamsFull(now) || urgentRejected(candidate, now);
        if (forecast.placeFree()) {
            final double timeLeftMillis = Math.max(0, candidate.timeLeftMillis(now));
            // The report that shows the free place may be old; those above their shares only use it if no queue is
            // expected.
            return standing == Standing.WITHIN_SHARE
                    ? timeLeftMillis
                    : Math.min(
                            timeLeftMillis, Math.max(standing.limitMillis(candidate, now), forecast.serviceMillis()));
        }
        if (restricted) {
            return 0;
        }
        final double limitMillis = standing.limitMillis(candidate, now);
        return otherKindRejected(candidate, now)
                ? Math.min(limitMillis, Standing.objectiveLimitMillis(candidate, now))
                : limitMillis;
    }

    /** Returns whether a more urgent request was rejected a short time ago, for its time or in the same organisation. */
    private boolean urgentRejected(AdmissionCandidate candidate, long now) {
        return lateRejections.values().stream()
                        .anyMatch(rejection -> rejection.rank < candidate.rank() && rejection.recent(now))
                || moreUrgent(shareRejections.getOrDefault(candidate.organisation(), Map.of()), candidate.rank(), now);
    }

    /** Returns whether a request of the same rank and of another kind was rejected a short time ago for its time. */
    private boolean otherKindRejected(AdmissionCandidate candidate, long now) {
        return lateRejections.entrySet().stream()
                .anyMatch(entry -> !entry.getKey().equals(candidate.kind())
                        && entry.getValue().rank == candidate.rank()
                        && entry.getValue().recent(now));
    }

    private static boolean moreUrgent(Map<Integer, Long> rejections, int rank, long now) {
        return rejections.entrySet().stream()
                .anyMatch(entry -> entry.getKey() < rank && now - entry.getValue() < URGENT_REJECTION_NANOS);
    }

    private Verdict.Reject reject(WaitingLine.Place place, ServiceForecast forecast, long now) {
        final AdmissionCandidate candidate = place.candidate();
        rejectedWork.add(candidate.work(), now);
        final boolean aboveShare = place.standing() == Standing.ABOVE_SHARE;
        if (aboveShare) {
            shareRejections
                    .values()
                    .removeIf(byRank ->
                            byRank.values().stream().allMatch(nanos -> now - nanos >= URGENT_REJECTION_NANOS));
            shareRejections
                    .computeIfAbsent(candidate.organisation(), name -> new HashMap<>())
                    .put(candidate.rank(), now);
        } else if (forecast.startMillis() - forecast.serviceMillis() > candidate.objectiveMillis()) {
            // Other requests are late without any load, since their prompts are long or their callers leave them little
            // time.
            lateRejections.values().removeIf(rejection -> !rejection.recent(now));
            lateRejections.put(candidate.kind(), new LateRejection(candidate.rank(), now));
        }
        final double excessMillis = forecast.startMillis() - place.limitMillis();
        final double roomMillis = aboveShare
                ? Math.max(excessMillis, shares.millisUntilWithin(candidate.organisation(), candidate.rank(), now))
                : excessMillis;
        final double maxReturnMillis = MAX_RETURN_FRACTION * candidate.timeLeftMillis(now);
        final double retryAfterMillis = Math.max(MIN_RETURN_MILLIS, Math.min(roomMillis, maxReturnMillis / 2));
        final double spreadMillis =
                shares.capacityKnown(now) ? 1e3 * rejectedWork.perSecond(now) / shares.capacity(now) : 0;
        repeats.onRejected(candidate, retryAfterMillis, now);
        return new Verdict.Reject(
                aboveShare ? RejectionReason.ABOVE_SHARE : RejectionReason.WAIT_EXCEEDS_DEADLINE,
                place.limitMillis(),
                retryAfterMillis,
                Math.max(0, Math.min(spreadMillis, maxReturnMillis - retryAfterMillis)));
    }

    private static int maxWaiting(ServiceForecast forecast) {
        return Math.max(MIN_WAITING, Math.min(MAX_WAITING, (int) (MAX_WAITING_FRACTION * forecast.ownPlaces())));
    }

    private static long recheckMillis(AdmissionCandidate candidate, double waitLeftMillis) {
        return (long) Math.floor(Math.min(
                waitLeftMillis,
                Math.max(
                        MIN_RECHECK_MILLIS,
                        Math.min(MAX_RECHECK_MILLIS, RECHECK_FRACTION * candidate.maxWaitMillis()))));
    }

    /** Last rejection of a kind of request whose queueing alone would have made it late. Immutable. */
    private record LateRejection(int rank, long nanos) {
        boolean recent(long now) {
            return now - nanos < URGENT_REJECTION_NANOS;
        }
    }

    /** One request from its arrival to its end. Not thread-safe. */
    public final class Ticket {
        private final WaitingLine.Place place;
        private double sentExpectedMillis;
        private long sentNanos = NEVER;
        private boolean started;
        private boolean rejected;
        /** Whether the work counts as received by the organisation, and whether the current attempt is the reason. */
        private boolean charged;

        private boolean chargedByAttempt;

        private Ticket(WaitingLine.Place place) {
            this.place = place;
        }

        /**
         * Decides on the request. The request is in the line until a decision that does not let it wait.
         *
         * @param forecast what is expected of the service for this request
         * @param now current time in nanoseconds
         * @return what becomes of the request; after a rejection it is not decided on again
         */
        public Verdict decide(ServiceForecast forecast, long now) {
            if (rejected) {
                throw new IllegalStateException("the request was rejected before");
            }
            place.updateService(forecast.serviceMillis());
            final Verdict verdict = ServiceAdmission.this.decide(place, forecast, now);
            if (verdict instanceof Verdict.Wait) {
                line.enter(place);
            } else {
                line.leave(place);
                rejected = verdict instanceof Verdict.Reject;
            }
            return verdict;
        }

        /**
         * Returns whether the request is in the line.
         *
         * @return {@code true} from a decision that lets it wait until another decision or the end
         */
        public boolean waiting() {
            return line.contains(place);
        }

        /**
         * Records that the request is sent, also if that was not decided here, as for retries.
         *
         * @param expectedMillis expected time until the answer starts, before the correction by {@link #startRatio}
         * @param now current time in nanoseconds
         */
        public void onSent(double expectedMillis, long now) {
            line.leave(place);
            final AdmissionCandidate candidate = place.candidate();
            chargedByAttempt = !charged;
            if (chargedByAttempt) {
                charged = true;
                shares.send(candidate.organisation(), candidate.rank(), candidate.work(), now);
            }
            sentExpectedMillis = expectedMillis;
            sentNanos = now;
            started = false;
        }

        /**
         * Records that the attempt that was sent last has not run, so that its work does not count as received.
         *
         * @param now current time in nanoseconds
         */
        public void onNotRun(long now) {
            if (sentNanos == NEVER) {
                return;
            }
            if (chargedByAttempt) {
                final AdmissionCandidate candidate = place.candidate();
                shares.refund(candidate.organisation(), candidate.rank(), candidate.work(), sentNanos, now);
                charged = false;
                chargedByAttempt = false;
            }
            sentNanos = NEVER;
        }

        /**
         * Records that the attempt that was sent last was rejected for lack of room. It still counts, and so does a retry, so that
         * an organisation that fills the upstreams is held back.
         */
        public void onUpstreamFull() {
            sentNanos = NEVER;
            charged = false;
            chargedByAttempt = false;
        }

        /** Leaves the line without a decision, since the request waits for something else than its turn. */
        public void leaveLine() {
            line.leave(place);
        }

        /**
         * Records that the answer has started.
         *
         * @param now current time in nanoseconds
         */
        public void onStarted(long now) {
            if (sentNanos != NEVER && !started) {
                started = true;
                errors.record(place.candidate().rank(), sentExpectedMillis, (now - sentNanos) / 1e6, now);
            }
        }

        /**
         * Ends the request. Has no effect the second time.
         *
         * @param completed whether an upstream has completed it
         * @param now current time in nanoseconds
         */
        public void close(boolean completed, long now) {
            line.leave(place);
            if (sentNanos == NEVER) {
                return;
            }
            final double elapsedMillis = (now - sentNanos) / 1e6;
            if (!started && elapsedMillis > sentExpectedMillis) {
                errors.record(place.candidate().rank(), sentExpectedMillis, elapsedMillis, now);
            }
            if (completed) {
                shares.complete(place.candidate().work(), now);
            }
            sentNanos = NEVER;
        }
    }
}
