package org.masticpaddle.admission;

/**
 * Share of an organisation's limit that one entry enforces. The demands have the unit of the limit.
 *
 * @param ownDemand demand that the entry last published
 * @param totalDemand sum of the demands that the reporting entries last published
 * @param reportingEntries number of entries whose demand is known, including this one
 * @param liveEntries number of live entries
 */
record LimitShare(double ownDemand, double totalDemand, int reportingEntries, int liveEntries) {
    /**
     * Fraction of the limit that is divided equally even if demand exceeds the limit, so that an entry whose demand has
     * just started can serve some of it before its first summary reaches the other entries.
     */
    private static final double EQUAL_SHARE_FRACTION = 0.05;

    /**
     * Returns the share of this entry in a limit.
     *
     * <p>Entries whose demand is unknown keep an equal share, so the shares never add up to more than the limit, even
     * if only some entries receive summaries.
     *
     * @param limit limit over all entries, infinite for none
     */
    double shareOf(double limit) {
        if (Double.isInfinite(limit)) {
            return limit;
        }
        final double reportingLimit = limit * reportingEntries / Math.max(liveEntries, reportingEntries);
        final double equallyDivided = Math.max(reportingLimit - totalDemand, EQUAL_SHARE_FRACTION * reportingLimit);
        final double scale = totalDemand > 0 ? Math.min(1, (reportingLimit - equallyDivided) / totalDemand) : 0;
        return ownDemand * scale + equallyDivided / reportingEntries;
    }
}
