package org.masticpaddle.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * Service-level counts of one entry in one interval, a record of the log stream {@link #STREAM}. Written as JSON under
 * the names of its components. Immutable and thread-safe.
 *
 * @param source entry and incarnation that appended the record
 * @param sequence sequence number of the record at its source, ascending; it identifies duplicates, since a record may be
 *     on the log twice
 * @param fromMillis start of the interval in milliseconds since 1970
 * @param toMillis end of the interval in milliseconds since 1970, exclusive
 * @param rows counts by organisation and rank, without the pairs that had no requests
 */
public record IntervalRecord(String source, long sequence, long fromMillis, long toMillis, List<Row> rows) {
    /** Name of the log stream to which entries append these records. */
    public static final String STREAM = "service-levels";

    /** Checks the arguments and copies the rows. */
    public IntervalRecord {
        Objects.requireNonNull(source, "source is null");
        rows = List.copyOf(rows);
    }

    /**
     * Request counts of one organisation in one rank.
     *
     * @param organisation name of the organisation
     * @param rank rank of the requests
     * @param targetMillis target for the time to the first token in milliseconds, in effect at the end of the interval
     * @param answered number of requests that received a complete answer
     * @param late number of answered requests whose first token arrived after the target
     * @param missed number of requests that failed for a reason on the side of the service
     * @param refused number of requests that failed or were rejected, including the missed ones, by kind of error
     */
    public record Row(
            String organisation,
            Rank rank,
            long targetMillis,
            long answered,
            long late,
            long missed,
            Map<String, Long> refused) {
        /** Checks the arguments and copies the map. */
        public Row {
            Objects.requireNonNull(organisation, "organisation is null");
            Objects.requireNonNull(rank, "rank is null");
            refused = Map.copyOf(refused);
        }

        /**
         * Returns the number of requests that count for the service level.
         *
         * @return answered and missed requests, without those that failed through the caller's errors or limits
         */
        public long eligible() {
            return answered + missed;
        }

        /**
         * Returns the number of requests that missed their target.
         *
         * @return late and missed requests
         */
        public long bad() {
            return late + missed;
        }
    }
}
