package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.document.Limits;

/**
 * Limits of organisations over all entries, without a central counter.
 *
 * <p>The entry enforces the part of each limit that belongs to its published demand. The parts of all entries add up to
 * at most the limit while their views agree; entries that are not heard from keep an equal part. Not thread-safe: one
 * duty owns it.
 */
public final class OrganisationLimiter {
    private final String origin;
    private final String domain;
    private final DemandView view = DemandView.create();
    private final Map<String, OrganisationUsage> usages = new HashMap<>();
    private int setEntryCount = 1;

    private OrganisationLimiter(String origin, String domain) {
        this.origin = origin;
        this.domain = domain;
    }

    /**
     * Creates the book of an entry.
     *
     * @param origin incarnation of the entry, unique among all entries
     * @param domain its failure domain
     * @return a book that knows no other entry
     */
    public static OrganisationLimiter of(String origin, String domain) {
        return new OrganisationLimiter(
                Objects.requireNonNull(origin, "origin is null"), Objects.requireNonNull(domain, "domain is null"));
    }

    /**
     * Sets the number of live entries from the instance view.
     *
     * @param count number of entries, this one included
     */
    public void setEntryCount(int count) {
        setEntryCount = Math.max(1, count);
    }

    /**
     * Decides on a request and counts it as demand, and as running if admitted.
     *
     * @param organisation the organisation
     * @param limits its limits
     * @param tokens expected tokens
     * @param spendMicros expected price, in millionths of the currency unit
     * @param now time in nanoseconds
     * @return admitted, or the limit that is used up
     */
    public LimitDecision admit(String organisation, Limits limits, long tokens, long spendMicros, long now) {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(limits, "limits is null");
        if (limits.equals(Limits.NONE)) {
            // Without a limit there is nothing to share, and the organisation stays out of the summaries.
            return new LimitDecision.Admitted();
        }
        final OrganisationUsage usage = usages.computeIfAbsent(organisation, name -> new OrganisationUsage());
        Demand total = Demand.NONE;
        int known = 0;
        boolean ownCounted = false;
        for (final DemandRow row : view.counted(now)) {
            if (!row.origin().equals(origin)) {
                total = total.plus(row.demands().getOrDefault(organisation, Demand.NONE));
                known += row.entries();
                ownCounted |= row.folded() && row.domain().equals(domain);
            }
        }
        if (!ownCounted) {
            total = total.plus(usage.published());
            known++;
        }
        return usage.decide(limits, total, known, setEntryCount, tokens, spendMicros, now);
    }

    /**
     * Ends an admitted request and corrects its use.
     *
     * @param organisation the organisation
     * @param extraTokens real tokens less expected tokens
     * @param extraSpendMicros real price less expected price, in millionths of the currency unit
     * @param now time in nanoseconds
     */
    public void release(String organisation, long extraTokens, long extraSpendMicros, long now) {
        final OrganisationUsage usage = usages.get(organisation);
        if (usage != null) {
            usage.finish(extraTokens, extraSpendMicros, now);
        }
    }

    /**
     * Makes the row of this entry, to be sent to its relays, and forgets idle organisations.
     *
     * @param stamp number that grows with each call, for example the clock in milliseconds
     * @param now time in nanoseconds
     * @return the row
     */
    public DemandRow publish(long stamp, long now) {
        usages.values().removeIf(usage -> usage.idle(now));
        final Map<String, Demand> demands = new HashMap<>();
        usages.forEach((organisation, usage) -> demands.put(organisation, usage.publish(now)));
        final DemandRow row = new DemandRow(origin, domain, false, stamp, 0, 1, demands);
        view.receive(new DemandSummary(List.of(row)), now);
        return row;
    }

    /**
     * Takes in a summary from a relay or another entry.
     *
     * @param summary the summary
     * @param now time in nanoseconds
     */
    public void receive(DemandSummary summary, long now) {
        view.receive(summary, now);
    }

    /**
     * Returns what this entry knows, to be sent on if it is a relay.
     *
     * @param now time in nanoseconds
     * @return summary of the rows that are young enough
     */
    public DemandSummary summary(long now) {
        return view.summary(now);
    }
}
