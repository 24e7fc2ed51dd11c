package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Demand seen by one entry, or by all entries of a failure domain. Immutable and thread-safe.
 *
 * @param origin incarnation of the entry, or name of the failure domain if folded
 * @param domain failure domain of the entries
 * @param folded whether the row is the sum over the entries of a failure domain
 * @param stamp number that grows with each row of the origin, for example its clock in milliseconds
 * @param ageMillis time since the row was made, summed over all holders without comparing their clocks
 * @param entries number of entries in the row
 * @param demands demand by organisation, at most {@value #MAX_ORGANISATIONS}, those with the most requests
 */
public record DemandRow(
        String origin,
        String domain,
        boolean folded,
        long stamp,
        long ageMillis,
        int entries,
        Map<String, Demand> demands) {
    /** Bounds a row to about 5 KB as JSON. */
    public static final int MAX_ORGANISATIONS = 64;

    private static final Comparator<DemandRow> NEWEST =
            Comparator.comparingLong(DemandRow::stamp).thenComparingLong(DemandRow::ageMillis);

    /** Checks the arguments and keeps the organisations with the most demand. */
    public DemandRow {
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(domain, "domain is null");
        demands = demands.size() <= MAX_ORGANISATIONS ? Map.copyOf(demands) : largest(demands);
    }

    private static Map<String, Demand> largest(Map<String, Demand> demands) {
        return demands.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, Demand>>comparingDouble(
                                entry -> -entry.getValue().requests())
                        .thenComparing(Map.Entry::getKey))
                .limit(MAX_ORGANISATIONS)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Chooses the newer of two rows of one origin; of two copies of a row, the one that was longer under way.
     *
     * @param other a row of the same origin
     * @return one of the two
     */
    public DemandRow newer(DemandRow other) {
        return NEWEST.compare(this, other) >= 0 ? this : other;
    }

    DemandRow withAge(long millis) {
        return new DemandRow(origin, domain, folded, stamp, millis, entries, demands);
    }
}
