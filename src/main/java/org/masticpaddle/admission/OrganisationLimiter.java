package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.document.Limits;

/**
 * Enforces the limits of organisations across all entries, without a central counter.
 *
 * <p>Each entry enforces a share of the limit in proportion to the demand that it last published. Invariant: while the
 * views of the entries agree, their shares add up to at most the limit. An entry whose demand is unknown keeps an equal
 * share. Not thread-safe: one duty owns it.
 */
public final class OrganisationLimiter {
    private final String origin;
    private final String domain;
    private final DemandView demandView = DemandView.create();
    private final Map<String, OrganisationUsage> usages = new HashMap<>();
    private int entryCount = 1;

    private OrganisationLimiter(String origin, String domain) {
        this.origin = origin;
        this.domain = domain;
    }

    /**
     * Creates the limiter of an entry.
     *
     * @param origin incarnation of the entry, unique among all entries
     * @param domain failure domain of the entry
     * @return a limiter that has not received the demand of other entries yet
     */
    public static OrganisationLimiter of(String origin, String domain) {
        return new OrganisationLimiter(
                Objects.requireNonNull(origin, "origin is null"), Objects.requireNonNull(domain, "domain is null"));
    }

    /**
     * Sets the number of live entries, as reported by the instance view.
     *
     * @param count number of entries including this one; values below 1 count as 1
     */
    public void setEntryCount(int count) {
        entryCount = Math.max(1, count);
    }

    /**
     * Admits or rejects a request. Counts it as demand in both cases, and as running if it is admitted.
     *
     * @param organisation name of the organisation that pays for the request
     * @param limits limits of the organisation
     * @param tokens expected tokens of the request
     * @param spendMicros expected price of the request, in millionths of the currency unit
     * @param now time in nanoseconds
     * @return admitted, or the exceeded limit with the time to retry
     */
    public LimitDecision admit(String organisation, Limits limits, long tokens, long spendMicros, long now) {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(limits, "limits is null");
        if (limits.equals(Limits.NONE)) {
            // Without limits there is nothing to share, so the organisation is left out of the summaries.
            return new LimitDecision.Admitted();
        }
        final OrganisationUsage usage = usages.computeIfAbsent(organisation, name -> new OrganisationUsage());
        Demand totalDemand = Demand.NONE;
        int reportingEntries = 0;
        boolean ownDemandIncluded = false;
        for (final DemandRow row : demandView.rowsWithoutOverlap(now)) {
            if (!row.origin().equals(origin)) {
                totalDemand = totalDemand.plus(row.demands().getOrDefault(organisation, Demand.NONE));
                reportingEntries += row.entries();
                ownDemandIncluded |= row.folded() && row.domain().equals(domain);
            }
        }
        if (!ownDemandIncluded) {
            totalDemand = totalDemand.plus(usage.publishedDemand());
            reportingEntries++;
        }
        return usage.admit(limits, totalDemand, reportingEntries, entryCount, tokens, spendMicros, now);
    }

    /**
     * Ends an admitted request and corrects its tokens and spend.
     *
     * @param organisation name given to {@link #admit}; ignored if no usage is recorded for it
     * @param extraTokens actual less expected tokens
     * @param extraSpendMicros actual less expected price, in millionths of the currency unit
     * @param now time in nanoseconds
     */
    public void release(String organisation, long extraTokens, long extraSpendMicros, long now) {
        final OrganisationUsage usage = usages.get(organisation);
        if (usage != null) {
            usage.release(extraTokens, extraSpendMicros, now);
        }
    }

    /**
     * Creates the demand row of this entry for its relays, and removes idle organisations.
     *
     * @param stamp number that increases with each call, for example the clock in milliseconds
     * @param now time in nanoseconds
     * @return demand row of this entry
     */
    public DemandRow publish(long stamp, long now) {
        usages.values().removeIf(usage -> usage.isIdle(now));
        final Map<String, Demand> demands = new HashMap<>();
        usages.forEach((organisation, usage) -> demands.put(organisation, usage.publish(now)));
        final DemandRow row = new DemandRow(origin, domain, false, stamp, 0, 1, demands);
        demandView.receive(new DemandSummary(List.of(row)), now);
        return row;
    }

    /**
     * Merges a summary from a relay or another entry.
     *
     * @param summary summary to merge
     * @param now time in nanoseconds
     */
    public void receive(DemandSummary summary, long now) {
        demandView.receive(summary, now);
    }

    /**
     * Returns the known demand of all entries, which a relay sends on.
     *
     * @param now time in nanoseconds
     * @return summary of the rows that have not expired
     */
    public DemandSummary summary(long now) {
        return demandView.summary(now);
    }
}
