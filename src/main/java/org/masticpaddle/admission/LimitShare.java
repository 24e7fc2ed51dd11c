package org.masticpaddle.admission;

/**
 * Part of a limit that one entry enforces.
 *
 * @param own demand that the entry last published
 * @param total demand that all known entries published
 * @param known entries whose demand is known, this one included
 * @param members live entries
 */
record LimitShare(double own, double total, int known, int members) {
    /**
     * Divided equally even when demand exceeds the limit, so that an entry whose demand has just begun can serve some of
     * it before its first summary has gone round.
     */
    private static final double EQUAL_PART = 0.05;

    /**
     * Returns the share.
     *
     * <p>Entries without a known demand keep their equal parts, so the shares never add up to more than the limit, even
     * if only some entries receive summaries.
     */
    double of(double limit) {
        if (Double.isInfinite(limit)) {
            return limit;
        }
        final double divided = limit * known / Math.max(members, known);
        final double equal = Math.max(divided - total, EQUAL_PART * divided);
        final double scale = total > 0 ? Math.min(1, (divided - equal) / total) : 0;
        return own * scale + equal / known;
    }
}
