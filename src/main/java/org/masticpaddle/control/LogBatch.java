package org.masticpaddle.control;

import java.util.List;

/**
 * Records of a stream in the order of their offsets. Immutable.
 *
 * @param records records from the requested offset on
 * @param nextOffset offset after the last record of the batch
 * @param endOffset offset at which the next record will be appended, at the time of the response
 */
public record LogBatch(List<KeyedRecord> records, long nextOffset, long endOffset) {
    /** Copies the list. */
    public LogBatch {
        records = List.copyOf(records);
    }

    /**
     * Returns whether the batch reaches the end of the stream.
     *
     * @return {@code true} if no record follows the batch
     */
    public boolean complete() {
        return nextOffset >= endOffset;
    }
}
