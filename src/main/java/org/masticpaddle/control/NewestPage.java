package org.masticpaddle.control;

import java.util.List;

/**
 * Some of the newest records of a stream, in order of their keys. Pages of one listing are read at different times.
 *
 * @param records newest records, one a key
 * @param hasMore whether further keys follow the last one
 * @param endOffset offset of the next record at the time of the page
 */
public record NewestPage(List<KeyedRecord> records, boolean hasMore, long endOffset) {
    /** Copies the list. */
    public NewestPage {
        records = List.copyOf(records);
    }
}
