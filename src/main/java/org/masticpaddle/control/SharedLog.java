package org.masticpaddle.control;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's log as the gateways use it. Answers are linearizable. Futures fail with {@link SharedLogException} and
 * complete on the event loop. Thread-safe.
 */
public interface SharedLog {
    /**
     * Reads newest records.
     *
     * @param stream the stream
     * @param after key after which the page begins, empty text for the first page
     * @return the page
     */
    CompletableFuture<NewestPage> newest(LogStream stream, String after);

    /**
     * Reads records in order.
     *
     * @param stream the stream
     * @param from offset of the first record
     * @param wait time for which the answer waits for a record if there is none
     * @return the records; fails with {@link SharedLogException.Kind#HISTORY_LOST} if some of them are deleted
     */
    CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait);

    /**
     * Appends a record.
     *
     * @param stream the stream
     * @param key the key
     * @param value the value
     * @param onlyAt offset at which the stream must end, empty for any; otherwise nothing is appended and the call fails
     *     with {@link SharedLogException.Kind#OFFSET_MISMATCH}
     * @return offset of the record
     */
    CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong onlyAt);
}
