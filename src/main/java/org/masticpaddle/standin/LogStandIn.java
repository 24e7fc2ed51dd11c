package org.masticpaddle.standin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;

/**
 * Test double of the platform's append-only log.
 *
 * <p>Invariants: the offsets of a stream ascend from 0 without gaps; a long poll occupies no thread while it waits; the
 * records survive a restart of the server. Thread-safe.
 */
public final class LogStandIn extends HttpStandIn {
    /** Default limit of accepted appends per second, over all streams. */
    public static final int DEFAULT_APPENDS_PER_SECOND = 400;

    private static final int MAX_PAGE_RECORDS = 10_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final String STREAM_PATH_PREFIX = "/streams/";

    private final int maxAppendsPerSecond;
    private final int retainedRecords;
    private final long retentionMillis;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final StandInServer server = new StandInServer("log", faults(), this::journal, this::handle);
    private long windowStartNanos = System.nanoTime();
    private int windowAppends;

    /** Creates a log with the default append limit that retains a million records of each stream for a day. */
    public LogStandIn() {
        this(DEFAULT_APPENDS_PER_SECOND, 1_000_000, Duration.ofDays(1));
    }

    /**
     * Creates a log that is not yet listening.
     *
     * @param maxAppendsPerSecond limit of appends per second, above which they are rejected with status 429
     * @param retainedRecords maximum number of records that a stream retains
     * @param retention time for which a stream retains a record
     */
    public LogStandIn(int maxAppendsPerSecond, int retainedRecords, Duration retention) {
        this.maxAppendsPerSecond = maxAppendsPerSecond;
        this.retainedRecords = retainedRecords;
        this.retentionMillis = retention.toMillis();
    }

    /**
     * Lists the records ever appended to a stream, including those no longer retained.
     *
     * @param stream name of the stream
     * @return the latest million records at most, in order of offset
     */
    public List<LogRecord> journal(String stream) {
        return stream(stream).journal();
    }

    /**
     * Removes records from a stream as if their retention had ended.
     *
     * @param stream name of the stream
     * @param beforeOffset lowest offset that is retained
     */
    public void expire(String stream, long beforeOffset) {
        stream(stream).dropBefore(beforeOffset);
    }

    private Object journal(HttpServerExchange exchange) {
        return Exchanges.query(exchange, "stream").<Object>map(this::journal).orElseGet(() -> streams.keySet());
    }

    private LogStream stream(String name) {
        return streams.computeIfAbsent(name, key -> new LogStream(retainedRecords, retentionMillis));
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        final String path = exchange.getRequestPath();
        if (!path.startsWith(STREAM_PATH_PREFIX)) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final LogStream stream =
                stream(URLDecoder.decode(path.substring(STREAM_PATH_PREFIX.length()), StandardCharsets.UTF_8));
        if (exchange.getRequestMethod().equalToString("POST")) {
            handleAppend(exchange, stream, Json.decode(body, HttpEventLog.AppendRequest.class));
        } else {
            handleRead(exchange, stream);
        }
    }

    private void handleAppend(HttpServerExchange exchange, LogStream stream, HttpEventLog.AppendRequest append) {
        if (append.records() == null || append.records().isEmpty()) {
            throw new IllegalArgumentException("an append needs at least one record");
        }
        if (!admitAppend()) {
            StandInServer.respondImmediately(
                    exchange, 429, StandInServer.errorBody("rate_limited", "too many appends a second"));
            return;
        }
        final long now = System.currentTimeMillis();
        final long offset = stream.append(append.records(), now);
        if (faults().trigger(Fault.APPLIED_TWICE)) {
            stream.append(append.records(), now);
        }
        server.respond(exchange, 200, new HttpEventLog.AppendResponse(offset));
        stream.drainWaitingReaders().forEach(Runnable::run);
    }

    private boolean admitAppend() {
        final long now = System.nanoTime();
        if (now - windowStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
            windowStartNanos = now;
            windowAppends = 0;
        }
        return ++windowAppends <= maxAppendsPerSecond;
    }

    private void handleRead(HttpServerExchange exchange, LogStream stream) {
        final long from = Math.max(0, Exchanges.queryLong(exchange, "from", 0));
        final int limit = (int) Math.max(1, Math.min(MAX_PAGE_RECORDS, Exchanges.queryLong(exchange, "limit", 1000)));
        final long waitMillis = Math.min(MAX_WAIT_MILLIS, Exchanges.queryLong(exchange, "wait_ms", 0));
        if (from < stream.end() || waitMillis <= 0) {
            server.respond(exchange, 200, stream.page(from, limit, System.currentTimeMillis()));
            return;
        }
        final Runnable response =
                () -> server.respond(exchange, 200, stream.page(from, limit, System.currentTimeMillis()));
        stream.addWaitingReader(response);
        server.schedule(
                () -> {
                    if (stream.removeWaitingReader(response)) {
                        response.run();
                    }
                },
                TimeUnit.MILLISECONDS.toNanos(waitMillis));
    }

    @Override
    StandInServer server() {
        return server;
    }
}
