package org.masticpaddle.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. It totally orders the records of each stream, retains them for a limited time and
 * offers no conditional append (compare-and-set). Thread-safe.
 */
public interface EventLog {
    /**
     * Appends records to a stream at consecutive offsets.
     *
     * @param stream name of the stream
     * @param records contents of the records, in order
     * @return offset of the first record; completes exceptionally with {@link PlatformException}, whose {@link
     *     PlatformException#effect() effect} states whether the records may have been appended nevertheless
     */
    CompletableFuture<Long> append(String stream, List<byte[]> records);

    /**
     * Reads records of a stream with a long poll.
     *
     * @param stream name of the stream
     * @param from lowest offset to return
     * @param limit maximum number of records to return
     * @param wait maximum time to wait for a record if there is none at {@code from} yet
     * @return page of records, empty if none arrived in time; completes exceptionally with {@link PlatformException}
     */
    CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait);
}
