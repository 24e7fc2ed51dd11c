package org.masticpaddle.admission;

import org.masticpaddle.document.Limits;

/** Use of the limits by one organisation at one entry. Not thread-safe. */
final class OrganisationUsage {
    /** With 5 s, an entry that lost its demand held an eighth of the limit idle in the 10 s after the move. */
    private static final long DEMAND_NANOS = 3_000_000_000L;

    /** Half a second of burst is half of the allowed error of 10% in 10 s; the other half is left for unequal views. */
    private static final double BURST_SECONDS = 0.5;

    /** The spend limit is stated for an hour, so its burst is the same part of an hour. */
    private static final double SPEND_BURST_SECONDS = 180;

    private static final long CONCURRENCY_RETRY_NANOS = 1_000_000_000L;

    private final DecayingRate requests = new DecayingRate(DEMAND_NANOS);
    private final DecayingRate admitted = new DecayingRate(DEMAND_NANOS);
    private final DecayingRate tokens = new DecayingRate(DEMAND_NANOS);
    private final DecayingRate spend = new DecayingRate(DEMAND_NANOS);
    private final RateBucket requestBucket = new RateBucket(BURST_SECONDS);
    private final RateBucket tokenBucket = new RateBucket(BURST_SECONDS);
    private final RateBucket spendBucket = new RateBucket(SPEND_BURST_SECONDS);
    private final ConcurrencyShare concurrency = new ConcurrencyShare();
    private Demand published = Demand.NONE;

    LimitDecision decide(Limits limits, Demand total, int known, int members, long cost, long price, long now) {
        requests.add(1, now);
        tokens.add(cost, now);
        spend.add(price, now);
        final double requestRate =
                new LimitShare(published.requests(), total.requests(), known, members).of(limits.requestsPerSecond());
        final double tokenRate =
                new LimitShare(published.tokens(), total.tokens(), known, members).of(limits.tokensPerSecond());
        final double spendRate =
                new LimitShare(published.spend(), total.spend(), known, members).of(limits.spendMicrosPerHour() / 3600);
        final double places =
                new LimitShare(published.concurrent(), total.concurrent(), known, members).of(limits.concurrent());
        final long requestWait = requestBucket.waitNanos(requestRate, now);
        final long tokenWait = tokenBucket.waitNanos(tokenRate, now);
        final long spendWait = spendBucket.waitNanos(spendRate, now);
        final boolean placeFree = concurrency.admits(places, now);
        if (requestWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.REQUEST_LIMIT, requestWait);
        }
        if (tokenWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.TOKEN_LIMIT, tokenWait);
        }
        if (spendWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.SPEND_LIMIT, spendWait);
        }
        if (!placeFree) {
            return new LimitDecision.Exceeded(RejectionReason.CONCURRENCY_LIMIT, CONCURRENCY_RETRY_NANOS);
        }
        requestBucket.take(1);
        tokenBucket.take(cost);
        spendBucket.take(price);
        concurrency.begin();
        admitted.add(1, now);
        return new LimitDecision.Admitted();
    }

    void finish(long extraTokens, long extraPrice, long now) {
        tokenBucket.take(extraTokens);
        spendBucket.take(extraPrice);
        concurrency.end(now);
    }

    Demand publish(long now) {
        concurrency.update(now);
        final double offered = requests.perSecond(now);
        final double passed = admitted.perSecond(now);
        // Refused requests would have run as long as the admitted ones.
        final double unmet = passed > 0 ? Math.min(100, offered / passed) : 1;
        published = new Demand(offered, tokens.perSecond(now), concurrency.average() * unmet, spend.perSecond(now));
        return published;
    }

    Demand published() {
        return published;
    }

    boolean idle(long now) {
        return concurrency.running() == 0 && requests.perSecond(now) < 1e-6;
    }
}
