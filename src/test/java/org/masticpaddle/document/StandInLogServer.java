package org.masticpaddle.document;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.Json;

/**
 * Stand-in for the platform's log on a loopback port. Reads return at once, without waiting for records. Thread-safe.
 */
public final class StandInLogServer implements AutoCloseable {
    private volatile boolean losesAcknowledgements;
    private volatile boolean failsReadsAfterAppend;

    private final List<LogRecord> records = new ArrayList<>();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 8 << 20, this::handle);
    private boolean appended;

    /** Starts the server. */
    public StandInLogServer() {
        server.start();
    }

    /** Makes appends take effect but return an error. */
    public void loseAcknowledgements() {
        losesAcknowledgements = true;
    }

    /**
     * Sets whether reads fail after the first append.
     *
     * @param fails whether reads fail
     */
    public void failReadsAfterAppend(boolean fails) {
        failsReadsAfterAppend = fails;
    }

    /**
     * Returns the origin of the server.
     *
     * @return scheme, host and port
     */
    public String origin() {
        return "http://127.0.0.1:" + server.port();
    }

    /**
     * Returns the origin of the server.
     *
     * @return scheme, host and port
     */
    public URI uri() {
        return URI.create(origin());
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestMethod().equalToString("POST")) {
            Exchanges.readBody(exchange, body -> append(exchange, Json.decode(body, HttpEventLog.AppendRequest.class)));
        } else {
            read(exchange, Exchanges.queryLong(exchange, "from", 0), Exchanges.queryLong(exchange, "limit", 1));
        }
    }

    private synchronized void append(HttpServerExchange exchange, HttpEventLog.AppendRequest append) {
        final int offset = records.size();
        append.records().forEach(data -> records.add(new LogRecord(records.size(), System.currentTimeMillis(), data)));
        appended = true;
        Exchanges.respond(exchange, losesAcknowledgements ? 500 : 200, new HttpEventLog.AppendResponse(offset));
    }

    private synchronized void read(HttpServerExchange exchange, long from, long limit) {
        final int start = (int) Math.min(from, records.size());
        final int end = (int) Math.min(start + limit, records.size());
        final int status = failsReadsAfterAppend && appended ? 500 : 200;
        Exchanges.respond(exchange, status, new LogPage(0, records.size(), records.subList(start, end)));
    }

    @Override
    public void close() {
        server.stop();
    }
}
