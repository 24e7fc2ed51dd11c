package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rows of demand that entries exchange through relays.
 *
 * <p>Merging is commutative, associative and idempotent, so lost, repeated and reordered messages do no harm. Immutable
 * and thread-safe.
 *
 * @param rows at most {@value #MAX_ROWS} rows, one for each origin, the newest if there are more
 */
public record DemandSummary(List<DemandRow> rows) {
    /** Above the entries of the largest failure domain and all other failure domains together. */
    public static final int MAX_ROWS = 256;

    private static final Comparator<DemandRow> NEWEST_FIRST =
            Comparator.comparingLong(DemandRow::stamp).reversed().thenComparing(DemandRow::origin);

    /** A summary without rows. */
    public static final DemandSummary EMPTY = new DemandSummary(List.of());

    /** Keeps the newest row of each origin, and the newest rows up to the bound. */
    public DemandSummary {
        final Map<String, DemandRow> byOrigin = new HashMap<>();
        rows.forEach(row -> byOrigin.merge(row.origin(), row, DemandRow::newer));
        rows = byOrigin.values().stream().sorted(NEWEST_FIRST).limit(MAX_ROWS).toList();
    }

    /**
     * Merges two summaries.
     *
     * @param other the other
     * @return summary with the newest row of each origin
     */
    public DemandSummary merge(DemandSummary other) {
        final List<DemandRow> all = new ArrayList<>(rows);
        all.addAll(other.rows);
        return new DemandSummary(all);
    }

    /**
     * Sums the rows of the entries of a failure domain, so that a relay sends one row for the whole domain.
     *
     * @param domain the failure domain
     * @param stamp stamp of the new row, growing with each fold
     * @return the row; its age is that of its oldest part
     */
    public DemandRow aggregate(String domain, long stamp) {
        final Map<String, Demand> sum = new HashMap<>();
        int entries = 0;
        long age = 0;
        for (final DemandRow row : rows) {
            if (!row.folded() && row.domain().equals(domain)) {
                row.demands().forEach((organisation, demand) -> sum.merge(organisation, demand, Demand::plus));
                entries += row.entries();
                age = Math.max(age, row.ageMillis());
            }
        }
        return new DemandRow(domain, domain, true, stamp, age, entries, sum);
    }
}
