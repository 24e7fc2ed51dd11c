package org.masticpaddle.report;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.wire.Rank;

/**
 * What one entry counted in one interval, a record of the log stream {@link #STREAM}. Immutable.
 *
 * @param source entry and its incarnation
 * @param sequence number of the record at its source, ascending; a record may be on the log twice
 * @param fromMillis start of the interval in milliseconds since 1970
 * @param toMillis end of the interval, exclusive
 * @param rows counts; an organisation without requests in a rank has none
 */
public record IntervalRecord(String source, long sequence, long fromMillis, long toMillis, List<Row> rows) {
    /** Log stream of the records. */
    public static final String STREAM = "service-levels";

    /** Checks the arguments and copies the rows. */
    public IntervalRecord {
        Objects.requireNonNull(source, "source is null");
        rows = List.copyOf(rows);
    }

    /**
     * Counts of one organisation in one rank.
     *
     * @param organisation organisation
     * @param rank rank
     * @param targetMillis target for the first token in effect at the end of the interval
     * @param answered requests that got their whole answer
     * @param late of these, those whose first token came after the target
     * @param missed requests that got none for a reason on the side of the service
     * @param refused requests that got no answer, by kind of the error; contains the missed ones
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
         * Returns the requests that count for the service level.
         *
         * @return answered and missed requests; errors of the caller and its own limits are left out
         */
        public long eligible() {
            return answered + missed;
        }

        /**
         * Returns the requests that missed their target.
         *
         * @return late and missed requests
         */
        public long bad() {
            return late + missed;
        }
    }
}
