package org.masticpaddle.control;

import java.util.List;

/**
 * Records of a stream in the order of their offsets. Immutable.
 *
 * @param records the records from the offset that was asked for
 * @param nextOffset offset after the last record of the batch
 * @param endOffset offset of the next record at the time of the answer
 */
public record LogBatch(List<KeyedRecord> records, long nextOffset, long endOffset) {
    /** Copies the list. */
    public LogBatch {
        records = List.copyOf(records);
    }

    /**
     * Tells whether the batch reaches the end of the stream.
     *
     * @return {@code true} if nothing follows the batch
     */
    public boolean complete() {
        return nextOffset >= endOffset;
    }
}
