package org.masticpaddle.control;

import java.util.List;

/**
 * Records of a stream in the order of their offsets. Immutable.
 *
 * @param records records from the requested offset on
 * @param nextOffset offset after the last record of the batch
 * @param endOffset offset at which the next record will be appended, at the time of the response
 * @param era history to which the offsets belong, {@link SharedLog#NO_ERA} if the log names none
 */
public record LogBatch(List<KeyedRecord> records, long nextOffset, long endOffset, long era) {
    /** Copies the list. */
    public LogBatch {
        records = List.copyOf(records);
    }

    /**
     * Creates a batch of a log that names no era.
     *
     * @param records records from the requested offset on
     * @param nextOffset offset after the last record of the batch
     * @param endOffset offset at which the next record will be appended, at the time of the response
     */
    public LogBatch(List<KeyedRecord> records, long nextOffset, long endOffset) {
        this(records, nextOffset, endOffset, SharedLog.NO_ERA);
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
