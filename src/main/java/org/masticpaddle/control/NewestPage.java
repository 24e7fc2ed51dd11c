package org.masticpaddle.control;

import java.util.List;

/**
 * Page of a listing of the newest records of a stream, in order of their keys. The pages of one listing are read at
 * different times. Immutable.
 *
 * @param records newest records, one per key
 * @param hasMore whether further keys follow the last one
 * @param endOffset offset at which the next record will be appended, at the time of the page
 * @param era history to which the offsets belong, {@link SharedLog#NO_ERA} if the log names none
 */
public record NewestPage(List<KeyedRecord> records, boolean hasMore, long endOffset, long era) {
    /** Copies the list. */
    public NewestPage {
        records = List.copyOf(records);
    }

    /**
     * Creates a page of a log that names no era.
     *
     * @param records newest records, one per key
     * @param hasMore whether further keys follow the last one
     * @param endOffset offset at which the next record will be appended, at the time of the page
     */
    public NewestPage(List<KeyedRecord> records, boolean hasMore, long endOffset) {
        this(records, hasMore, endOffset, SharedLog.NO_ERA);
    }

    /**
     * Returns whether all records of the page could be read.
     *
     * @return {@code false} if the newest record of some key is not known, so that the listing is incomplete
     */
    public boolean readable() {
        return records.stream().noneMatch(keyedRecord -> keyedRecord.offset() == KeyedRecord.UNKNOWN_OFFSET);
    }
}
