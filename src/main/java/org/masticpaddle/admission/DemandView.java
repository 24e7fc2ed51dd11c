package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What one entry or relay knows about the demand at all entries; rows leave it when they are too old.
 *
 * <p>Bounded by {@link DemandSummary#MAX_ROWS}. Not thread-safe: one duty owns it.
 */
public final class DemandView {
    /** Three exchanges of 2 s: two may be lost before the shares become equal. */
    public static final long LIFETIME_MILLIS = 6_000;

    private record Held(DemandRow row, long received) {
        long ageMillis(long now) {
            return row.ageMillis() + Math.max(0, now - received) / 1_000_000;
        }
    }

    private final Map<String, Held> held = new HashMap<>();

    private DemandView() {}

    /**
     * Creates an empty view.
     *
     * @return the view
     */
    public static DemandView create() {
        return new DemandView();
    }

    /**
     * Takes in a summary. Receiving it again changes nothing.
     *
     * @param summary the summary
     * @param now time in nanoseconds
     */
    public void receive(DemandSummary summary, long now) {
        Objects.requireNonNull(summary, "summary is null");
        final Map<String, Held> merged = new HashMap<>();
        for (final DemandRow row : summary(now).merge(summary).rows()) {
            if (row.ageMillis() <= LIFETIME_MILLIS) {
                merged.put(row.origin(), new Held(row, now));
            }
        }
        held.clear();
        held.putAll(merged);
    }

    /**
     * Returns the rows that are young enough, with their present age.
     *
     * @param now time in nanoseconds
     * @return summary to send on
     */
    public DemandSummary summary(long now) {
        held.values().removeIf(row -> row.ageMillis(now) > LIFETIME_MILLIS);
        return new DemandSummary(held.values().stream()
                .map(row -> row.row().withAge(row.ageMillis(now)))
                .toList());
    }

    /** Rows that together count each known entry once: a folded row stands for the entries of its domain. */
    List<DemandRow> counted(long now) {
        held.values().removeIf(row -> row.ageMillis(now) > LIFETIME_MILLIS);
        final Set<String> domains = new HashSet<>();
        held.values().forEach(row -> {
            if (row.row().folded()) {
                domains.add(row.row().domain());
            }
        });
        return held.values().stream()
                .map(Held::row)
                .filter(row -> row.folded() || !domains.contains(row.domain()))
                .toList();
    }
}
