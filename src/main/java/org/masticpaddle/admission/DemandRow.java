package org.masticpaddle.admission;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * Demand at one entry, or at all entries of a failure domain. Immutable and thread-safe.
 *
 * @param origin incarnation of the entry, or name of the failure domain for an aggregated row
 * @param domain failure domain of the entries
 * @param folded whether the row aggregates the entries of a failure domain
 * @param stamp number that increases with each row of the origin, for example its clock in milliseconds
 * @param ageMillis time since the row was created, in milliseconds; each process that holds the row adds the time for
 *     which it held it, so that clocks are never compared
 * @param entries number of entries that the row covers
 * @param demands demand by organisation, limited to the {@value #MAX_ORGANISATIONS} with the most requests
 */
public record DemandRow(
        String origin,
        String domain,
        boolean folded,
        long stamp,
        long ageMillis,
        int entries,
        Map<String, Demand> demands) {
    /** Largest number of organisations in a row; limits its JSON to about 5 KB. */
    public static final int MAX_ORGANISATIONS = 64;

    private static final Comparator<DemandRow> BY_STAMP_AND_AGE =
            Comparator.comparingLong(DemandRow::stamp).thenComparingLong(DemandRow::ageMillis);

    /** Checks the arguments and keeps the organisations with the most requests. */
    public DemandRow {
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(domain, "domain is null");
        demands = demands.size() <= MAX_ORGANISATIONS ? Map.copyOf(demands) : largestDemands(demands);
    }

    private static Map<String, Demand> largestDemands(Map<String, Demand> demands) {
        return demands.entrySet().stream()
                .sorted(Comparator.<Map.Entry<String, Demand>>comparingDouble(
                                entry -> -entry.getValue().requests())
                        .thenComparing(Map.Entry::getKey))
                .limit(MAX_ORGANISATIONS)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Returns the newer of two rows of one origin; of two copies of the same row, the one with the higher age.
     *
     * @param other a row of the same origin
     * @return this row or the other one
     */
    public DemandRow newer(DemandRow other) {
        return BY_STAMP_AND_AGE.compare(this, other) >= 0 ? this : other;
    }

    DemandRow withAge(long millis) {
        return new DemandRow(origin, domain, folded, stamp, millis, entries, demands);
    }
}
