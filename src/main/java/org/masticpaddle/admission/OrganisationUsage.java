package org.masticpaddle.admission;

import org.masticpaddle.document.Limits;

/** Demand and use of the limits by one organisation at one entry. Not thread-safe. */
final class OrganisationUsage {
    /**
     * Time constant of the demand averages. With 5 s, an entry whose demand had shifted to another one left an eighth
     * of the limit unused during the following 10 s.
     */
    private static final long DEMAND_TIME_CONSTANT_NANOS = 3_000_000_000L;

    /**
     * Burst of the request and token buckets. Over 10 s, a limit may be exceeded by 10%: the burst takes half of that,
     * and the other half is left for differences between the views of the entries.
     */
    private static final double BURST_SECONDS = 0.5;

    /** Burst of the spend bucket. The spend limit is per hour, so its burst is the same fraction (5%) of an hour. */
    private static final double SPEND_BURST_SECONDS = 180;

    /** Time to retry after a rejection by the concurrency limit. */
    private static final long CONCURRENCY_RETRY_AFTER_NANOS = 1_000_000_000L;

    private final DecayingRate offeredRequests = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS);
    private final DecayingRate admittedRequests = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS);
    private final DecayingRate offeredTokens = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS);
    private final DecayingRate offeredSpend = new DecayingRate(DEMAND_TIME_CONSTANT_NANOS);
    private final RateBucket requestBucket = new RateBucket(BURST_SECONDS);
    private final RateBucket tokenBucket = new RateBucket(BURST_SECONDS);
    private final RateBucket spendBucket = new RateBucket(SPEND_BURST_SECONDS);
    private final ConcurrencyShare concurrency = new ConcurrencyShare();
    private Demand publishedDemand = Demand.NONE;

    LimitDecision admit(
            Limits limits,
            Demand totalDemand,
            int reportingEntries,
            int liveEntries,
            long expectedTokens,
            long priceMicros,
            long now) {
        offeredRequests.add(1, now);
        offeredTokens.add(expectedTokens, now);
        offeredSpend.add(priceMicros, now);
        final double requestRate = new LimitShare(
                        publishedDemand.requests(), totalDemand.requests(), reportingEntries, liveEntries)
                .shareOf(limits.requestsPerSecond());
        final double tokenRate = new LimitShare(
                        publishedDemand.tokens(), totalDemand.tokens(), reportingEntries, liveEntries)
                .shareOf(limits.tokensPerSecond());
        final double spendRate = new LimitShare(
                        publishedDemand.spend(), totalDemand.spend(), reportingEntries, liveEntries)
                .shareOf(limits.spendMicrosPerHour() / 3600);
        final double concurrencyLimit = new LimitShare(
                        publishedDemand.concurrent(), totalDemand.concurrent(), reportingEntries, liveEntries)
                .shareOf(limits.concurrent());
        final long requestWait = requestBucket.waitNanos(requestRate, now);
        final long tokenWait = tokenBucket.waitNanos(tokenRate, now);
        final long spendWait = spendBucket.waitNanos(spendRate, now);
        final boolean withinConcurrencyLimit = concurrency.allows(concurrencyLimit, now);
        if (requestWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.REQUEST_LIMIT, requestWait);
        }
        if (tokenWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.TOKEN_LIMIT, tokenWait);
        }
        if (spendWait > 0) {
            return new LimitDecision.Exceeded(RejectionReason.SPEND_LIMIT, spendWait);
        }
        if (!withinConcurrencyLimit) {
            return new LimitDecision.Exceeded(RejectionReason.CONCURRENCY_LIMIT, CONCURRENCY_RETRY_AFTER_NANOS);
        }
        requestBucket.take(1);
        tokenBucket.take(expectedTokens);
        spendBucket.take(priceMicros);
        concurrency.acquire();
        admittedRequests.add(1, now);
        return new LimitDecision.Admitted();
    }

    void release(long extraTokens, long extraPriceMicros, long now) {
        tokenBucket.take(extraTokens);
        spendBucket.take(extraPriceMicros);
        concurrency.release(now);
    }

    Demand publish(long now) {
        concurrency.update(now);
        final double offered = offeredRequests.perSecond(now);
        final double admitted = admittedRequests.perSecond(now);
        // Assumes that rejected requests would have run as long as the admitted ones.
        final double offeredPerAdmitted = admitted > 0 ? Math.min(100, offered / admitted) : 1;
        publishedDemand = new Demand(
                offered,
                offeredTokens.perSecond(now),
                concurrency.averageRunning() * offeredPerAdmitted,
                offeredSpend.perSecond(now));
        return publishedDemand;
    }

    Demand publishedDemand() {
        return publishedDemand;
    }

    boolean isIdle(long now) {
        return concurrency.running() == 0 && offeredRequests.perSecond(now) < 1e-6;
    }
}
