package org.masticpaddle.control;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's log. Futures fail with {@link SharedLogException} and complete on the event loop. Thread-safe.
 *
 * <p>Reads and appends are linearizable within an era. A log that is restored from a copy begins a new era: records that the copy
 * does not hold are gone, and their offsets are given out again. Offsets of different eras must not be compared.
 */
public interface SharedLog {
    /** Era of a log that names none. */
    long NO_ERA = -1;

    /**
     * Returns the era of the log.
     *
     * @return era that the newest response named, {@link #NO_ERA} if none did
     */
    default long era() {
        return NO_ERA;
    }

    /**
     * Lists the newest record of each key, page by page.
     *
     * @param stream stream whose keys are listed
     * @param after key after which the page begins, empty for the first page
     * @return page of records in order of their keys
     */
    CompletableFuture<NewestPage> newest(LogStream stream, String after);

    /**
     * Reads records in the order of their offsets.
     *
     * @param stream stream to read; each stream has its own offsets
     * @param from offset of the first record
     * @param wait time for which the log holds the response while there is no record
     * @return the records; fails with {@link SharedLogException.Kind#HISTORY_LOST} if some of them were deleted
     */
    CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait);

    /**
     * Appends a record.
     *
     * @param stream stream to append to; {@link LogStream} lists the writers of each stream
     * @param key key of the record
     * @param value value of the key, empty for a tombstone
     * @param expectedOffset offset that the record must get, empty for any; if the stream ends elsewhere, nothing is
     *     appended and the future fails with {@link SharedLogException.Kind#OFFSET_MISMATCH}
     * @return offset of the appended record
     */
    CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset);
}
