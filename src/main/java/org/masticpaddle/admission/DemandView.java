package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Demand at all entries as known to one entry or relay. Rows expire after {@value #MAX_ROW_AGE_MILLIS} ms.
 *
 * <p>Holds at most {@link DemandSummary#MAX_ROWS} rows. Not thread-safe: one duty owns it.
 */
public final class DemandView {
    /**
     * Age above which a row expires: three exchange intervals of 2 s, so that two exchanges may be lost before the
     * shares fall back to equal parts.
     */
    public static final long MAX_ROW_AGE_MILLIS = 6_000;

    private record ReceivedRow(DemandRow row, long receivedNanos) {
        long ageMillis(long now) {
            return row.ageMillis() + Math.max(0, now - receivedNanos) / 1_000_000;
        }
    }

    private final Map<String, ReceivedRow> rowsByOrigin = new HashMap<>();

    private DemandView() {}

    /**
     * Creates an empty view.
     *
     * @return view without rows, to be filled by {@link #receive}
     */
    public static DemandView create() {
        return new DemandView();
    }

    /**
     * Merges a summary into this view. Merging the same summary again has no effect.
     *
     * @param summary summary to merge
     * @param now time in nanoseconds
     */
    public void receive(DemandSummary summary, long now) {
        Objects.requireNonNull(summary, "summary is null");
        final Map<String, ReceivedRow> merged = new HashMap<>();
        for (final DemandRow row : summary(now).merge(summary).rows()) {
            if (row.ageMillis() <= MAX_ROW_AGE_MILLIS) {
                merged.put(row.origin(), new ReceivedRow(row, now));
            }
        }
        rowsByOrigin.clear();
        rowsByOrigin.putAll(merged);
    }

    /**
     * Returns the rows that have not expired, with their current age.
     *
     * @param now time in nanoseconds
     * @return summary to send to other processes
     */
    public DemandSummary summary(long now) {
        rowsByOrigin.values().removeIf(row -> row.ageMillis(now) > MAX_ROW_AGE_MILLIS);
        return new DemandSummary(rowsByOrigin.values().stream()
                .map(row -> row.row().withAge(row.ageMillis(now)))
                .toList());
    }

    /**
     * Returns rows that cover each known entry once; an aggregated row replaces the rows of the entries in its domain.
     */
    List<DemandRow> rowsWithoutOverlap(long now) {
        rowsByOrigin.values().removeIf(row -> row.ageMillis(now) > MAX_ROW_AGE_MILLIS);
        final Set<String> aggregatedDomains = new HashSet<>();
        rowsByOrigin.values().forEach(row -> {
            if (row.row().folded()) {
                aggregatedDomains.add(row.row().domain());
            }
        });
        return rowsByOrigin.values().stream()
                .map(ReceivedRow::row)
                .filter(row -> row.folded() || !aggregatedDomains.contains(row.domain()))
                .toList();
    }
}
