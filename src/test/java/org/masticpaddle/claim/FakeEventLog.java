package org.masticpaddle.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.platform.PlatformException;

/** In-memory log whose appends and reads can be made to fail or hang. Thread-safe. */
public final class FakeEventLog implements EventLog {
    private static final long MAX_WAIT_MILLIS = 5;

    private final AtomicInteger appendCount = new AtomicInteger();
    private long lowestOffsetRead = Long.MAX_VALUE;
    private volatile Behaviour appendBehaviour = Behaviour.SUCCEED;
    private volatile Behaviour readBehaviour = Behaviour.SUCCEED;
    private final Map<String, InMemoryLogStream> streams = new HashMap<>();
    private final LongSupplier clock;

    /**
     * Creates an empty log.
     *
     * @param clock time of the appends, in milliseconds since 1970
     */
    public FakeEventLog(LongSupplier clock) {
        this.clock = clock;
    }

    /** Behaviour of an append or a read. */
    public enum Behaviour {
        /** The operation succeeds. */
        SUCCEED,
        /** The operation fails without effect. */
        FAIL,
        /** The append takes effect and its response is lost. */
        LOSE_RESPONSE,
        /** The append takes effect twice and succeeds. */
        DUPLICATE,
        /** The read returns an empty page, as if the stream had been reset. */
        RESET_STREAM,
        /** The operation has no effect and never completes. */
        HANG
    }

    @Override
    public synchronized CompletableFuture<Long> append(String stream, List<byte[]> records) {
        switch (appendBehaviour) {
            case FAIL:
                return CompletableFuture.failedFuture(error(PlatformException.Effect.NONE));
            case HANG:
                return new CompletableFuture<>();
            case DUPLICATE:
                stream(stream).append(records, clock.getAsLong());
                break;
            default:
        }
        appendCount.incrementAndGet();
        final long offset = stream(stream).append(records, clock.getAsLong());
        return appendBehaviour == Behaviour.LOSE_RESPONSE
                ? CompletableFuture.failedFuture(error(PlatformException.Effect.POSSIBLE))
                : CompletableFuture.completedFuture(offset);
    }

    @Override
    public synchronized CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
        lowestOffsetRead = limit > 1 ? Math.min(lowestOffsetRead, from) : lowestOffsetRead;
        if (readBehaviour == Behaviour.FAIL) {
            return CompletableFuture.failedFuture(error(PlatformException.Effect.NONE));
        }
        if (readBehaviour == Behaviour.HANG) {
            return new CompletableFuture<>();
        }
        if (readBehaviour == Behaviour.RESET_STREAM) {
            return CompletableFuture.completedFuture(new LogPage(0, 0, List.of()));
        }
        final LogPage page = page(stream, from, limit);
        if (!page.records().isEmpty() || wait.isZero()) {
            return CompletableFuture.completedFuture(page);
        }
        final long millis = Math.min(MAX_WAIT_MILLIS, wait.toMillis());
        return CompletableFuture.supplyAsync(
                () -> page(stream, from, limit), CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
    }

    /**
     * Sets the behaviour of later appends.
     *
     * @param behaviour behaviour, initially {@link Behaviour#SUCCEED}
     */
    public void setAppendBehaviour(Behaviour behaviour) {
        appendBehaviour = behaviour;
    }

    /**
     * Returns the number of appends that took effect.
     *
     * @return number of appends; a duplicated append counts once
     */
    public int appendCount() {
        return appendCount.get();
    }

    void setReadBehaviour(Behaviour behaviour) {
        readBehaviour = behaviour;
    }

    /** Returns the lowest offset of the reads with a limit of more than one record. */
    synchronized long lowestOffsetRead() {
        return lowestOffsetRead;
    }

    /**
     * Returns all records that were ever appended to a stream, including trimmed ones.
     *
     * @param stream name of the stream
     * @return copy of the records
     */
    public synchronized List<LogRecord> history(String stream) {
        return List.copyOf(stream(stream).history());
    }

    synchronized void appendAt(String stream, long timeMillis, List<byte[]> records) {
        stream(stream).append(records, timeMillis);
    }

    synchronized void trim(String stream, long beforeMillis) {
        stream(stream).trim(beforeMillis);
    }

    private synchronized LogPage page(String stream, long from, int limit) {
        return stream(stream).read(from, limit);
    }

    private InMemoryLogStream stream(String stream) {
        return streams.computeIfAbsent(stream, name -> new InMemoryLogStream());
    }

    private static PlatformException error(PlatformException.Effect effect) {
        return new PlatformException(effect, "the fake event log is set to fail", null);
    }
}
