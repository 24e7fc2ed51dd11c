package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Demand rows that entries exchange through relays.
 *
 * <p>Merging is commutative, associative and idempotent, so the exchange tolerates lost, repeated and reordered
 * messages. Immutable and thread-safe.
 *
 * @param rows one row for each origin, limited to the {@value #MAX_ROWS} newest
 */
public record DemandSummary(List<DemandRow> rows) {
    /**
     * Largest number of rows; above the number of entries of the largest failure domain plus the number of other
     * failure domains.
     */
    public static final int MAX_ROWS = 256;

    private static final Comparator<DemandRow> NEWEST_FIRST =
            Comparator.comparingLong(DemandRow::stamp).reversed().thenComparing(DemandRow::origin);

    /** A summary without rows. */
    public static final DemandSummary EMPTY = new DemandSummary(List.of());

    /** Keeps the newest row of each origin, up to {@value #MAX_ROWS} rows. */
    public DemandSummary {
        final Map<String, DemandRow> byOrigin = new HashMap<>();
        rows.forEach(row -> byOrigin.merge(row.origin(), row, DemandRow::newer));
        rows = byOrigin.values().stream().sorted(NEWEST_FIRST).limit(MAX_ROWS).toList();
    }

    /**
     * Merges two summaries.
     *
     * @param other summary to merge
     * @return summary with the newest row of each origin
     */
    public DemandSummary merge(DemandSummary other) {
        final List<DemandRow> allRows = new ArrayList<>(rows);
        allRows.addAll(other.rows);
        return new DemandSummary(allRows);
    }

    /**
     * Aggregates the rows of the entries of a failure domain, so that a relay sends one row for the whole domain.
     *
     * @param domain the failure domain
     * @param stamp stamp of the new row, higher than that of the previous aggregate
     * @return the aggregated row, with the age of the oldest row in it
     */
    public DemandRow aggregate(String domain, long stamp) {
        final Map<String, Demand> demandByOrganisation = new HashMap<>();
        int entryCount = 0;
        long maxAgeMillis = 0;
        for (final DemandRow row : rows) {
            if (!row.folded() && row.domain().equals(domain)) {
                row.demands()
                        .forEach((organisation, demand) ->
                                demandByOrganisation.merge(organisation, demand, Demand::plus));
                entryCount += row.entries();
                maxAgeMillis = Math.max(maxAgeMillis, row.ageMillis());
            }
        }
        return new DemandRow(domain, domain, true, stamp, maxAgeMillis, entryCount, demandByOrganisation);
    }
}
