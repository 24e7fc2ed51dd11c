package org.masticpaddle.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. It orders the records of a stream, keeps them for a limited time, and has no
 * compare-and-set. Thread-safe.
 */
public interface EventLog {
    /**
     * Appends records to a stream as consecutive offsets.
     *
     * @param stream name of the stream
     * @param records contents
     * @return offset of the first record; fails with {@link PlatformException}, whose effect tells whether the records
     *     may be on the log all the same
     */
    CompletableFuture<Long> append(String stream, List<byte[]> records);

    /**
     * Reads records of a stream.
     *
     * @param stream name of the stream
     * @param from lowest offset wanted
     * @param limit most records wanted
     * @param wait longest time to wait for a record if there is none
     * @return a page, empty if no record came in time; fails with {@link PlatformException}
     */
    CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait);
}
