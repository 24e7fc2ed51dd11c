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
 * Stand-in for the platform's log.
 *
 * <p>Invariants: offsets of a stream ascend from 0 without gaps; waiting readers hold no thread; a restart keeps the
 * records. Thread-safe.
 */
public final class LogStandIn extends HttpStandIn {
    /** Appends a second that the log takes unless told otherwise. */
    public static final int DEFAULT_APPENDS_PER_SECOND = 400;

    private static final int MAX_PAGE = 10_000;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final String PREFIX = "/streams/";

    private final int appendsASecond;
    private final int retainedRecords;
    private final long retentionMillis;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final StandInServer server = new StandInServer("log", faults(), this::journal, this::handle);
    private long windowStart = System.nanoTime();
    private int windowAppends;

    /** Creates a log with the default limit of appends that keeps a million records of a stream for a day. */
    public LogStandIn() {
        this(DEFAULT_APPENDS_PER_SECOND, 1_000_000, Duration.ofDays(1));
    }

    /**
     * Creates a log.
     *
     * @param appendsASecond appends above this number in one second are answered with status 429
     * @param retainedRecords records that a stream keeps at most
     * @param retention time for which a stream keeps a record
     */
    public LogStandIn(int appendsASecond, int retainedRecords, Duration retention) {
        this.appendsASecond = appendsASecond;
        this.retainedRecords = retainedRecords;
        this.retentionMillis = retention.toMillis();
    }

    /**
     * Lists what was ever appended to a stream, also what it no longer keeps.
     *
     * @param stream name of the stream
     * @return the records; the oldest are missing if there were more than a million
     */
    public List<LogRecord> journal(String stream) {
        return stream(stream).journal();
    }

    /**
     * Drops records as if they had expired.
     *
     * @param stream name of the stream
     * @param beforeOffset lowest offset that stays
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
        if (!path.startsWith(PREFIX)) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final LogStream stream = stream(URLDecoder.decode(path.substring(PREFIX.length()), StandardCharsets.UTF_8));
        if (exchange.getRequestMethod().equalToString("POST")) {
            append(exchange, stream, Json.decode(body, HttpEventLog.AppendRequest.class));
        } else {
            read(exchange, stream);
        }
    }

    private void append(HttpServerExchange exchange, LogStream stream, HttpEventLog.AppendRequest append) {
        if (append.records() == null || append.records().isEmpty()) {
            throw new IllegalArgumentException("an append needs at least one record");
        }
        if (!admit()) {
            StandInServer.respondImmediately(exchange, 429, StandInServer.errorBody("rate_limited", "too many appends a second"));
            return;
        }
        final long now = System.currentTimeMillis();
        final long offset = stream.append(append.records(), now);
        if (faults().occurs(Fault.APPLIED_TWICE)) {
            stream.append(append.records(), now);
        }
        server.respond(exchange, 200, new HttpEventLog.AppendResponse(offset));
        stream.takeWaiting().forEach(Runnable::run);
    }

    private boolean admit() {
        final long now = System.nanoTime();
        if (now - windowStart >= TimeUnit.SECONDS.toNanos(1)) {
            windowStart = now;
            windowAppends = 0;
        }
        return ++windowAppends <= appendsASecond;
    }

    private void read(HttpServerExchange exchange, LogStream stream) {
        final long from = Math.max(0, Exchanges.queryLong(exchange, "from", 0));
        final int limit = (int) Math.max(1, Math.min(MAX_PAGE, Exchanges.queryLong(exchange, "limit", 1000)));
        final long wait = Math.min(MAX_WAIT_MILLIS, Exchanges.queryLong(exchange, "wait_ms", 0));
        if (from < stream.end() || wait <= 0) {
            server.respond(exchange, 200, stream.page(from, limit, System.currentTimeMillis()));
            return;
        }
        final Runnable answer =
                () -> server.respond(exchange, 200, stream.page(from, limit, System.currentTimeMillis()));
        stream.await(answer);
        server.schedule(
                () -> {
                    if (stream.cancel(answer)) {
                        answer.run();
                    }
                },
                TimeUnit.MILLISECONDS.toNanos(wait));
    }

    @Override
    StandInServer server() {
        return server;
    }
}
