package org.masticpaddle.decisions;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.metrics.Gauge;

/**
 * Writes one JSON line for each decision, on a thread of its own.
 *
 * <p>Invariants: {@link #write} never blocks; at most {@link #QUEUE_CAPACITY} lines are queued, and routine lines are
 * dropped while the queue is at least half full; the number of dropped lines is written to the log. A line that cannot be encoded
 * and lines whose output fails count as dropped and as unexpected errors; the lines after them are written. Thread-safe.
 */
public final class DecisionLog implements Service {
    /** Maximum number of lines that wait to be written. */
    static final int QUEUE_CAPACITY = 2_048;

    /** Interval between two writes, which limits how often the writer thread wakes up. */
    private static final long WRITE_INTERVAL_NANOS = 150_000_000L;
    /** Limits the output to 500 lines a second, which is 200 KB a second at 400 bytes a line. */
    private static final int MAX_LINES_PER_WRITE = 75;
    /** Longest time for which a stop waits for the output. */
    private static final Duration MAX_STOP_TIME = Duration.ofMillis(500);

    private final String instance;
    private final LongSupplier wallMillis;
    private final Consumer<String> output;
    private final ArrayBlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong errors = new AtomicLong();
    /** Lines of one write; used by the writer thread only. */
    private final List<Line> lines = new ArrayList<>(MAX_LINES_PER_WRITE);

    private final JsonFactory json = new JsonFactory();
    private final Thread writer = new Thread(this::run, "decision-log");
    private volatile boolean stopping;
    private volatile Duration stopLimit = MAX_STOP_TIME;
    private long loggedDroppedCount;

    /**
     * Creates a log that is not started.
     *
     * @param instance identifier of the instance, written to each line
     * @param wallMillis wall-clock time in milliseconds since 1970
     * @param output receives one or more complete lines at a time; may block
     */
    public DecisionLog(String instance, LongSupplier wallMillis, Consumer<String> output) {
        this.instance = Objects.requireNonNull(instance, "instance is null");
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
        this.output = Objects.requireNonNull(output, "output is null");
    }

    @Override
    public void start() {
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes the queued lines and stops; waits for at most half a second, or for the time that {@link #limitStop} sets. */
    @Override
    public void stop() {
        stopping = true;
        LockSupport.unpark(writer);
        try {
            writer.join(Math.max(1, stopLimit.toMillis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Limits how long {@link #stop()} waits for the output.
     *
     * @param limit longest time, which has no effect if it is longer than half a second; 1 ms at least
     */
    public void limitStop(Duration limit) {
        if (limit.compareTo(stopLimit) < 0) {
            stopLimit = limit;
        }
    }

    /**
     * Enqueues a line, or drops and counts it if the queue is too full for the priority of the event.
     *
     * @param decision event to log
     * @param fields alternating names and values; numbers and booleans are written as such, other values as text, and
     *     fields whose value is {@code null} are omitted
     */
    public void write(Decision decision, Object... fields) {
        final int limit = decision.priority() == Decision.Priority.IMPORTANT ? QUEUE_CAPACITY : QUEUE_CAPACITY / 2;
        if (queue.size() >= limit || !queue.offer(new Line(decision, wallMillis.getAsLong(), fields))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Enqueues a line about an unexpected error, and counts it.
     *
     * @param component name for the line, for example {@code log/status}
     * @param error exception that it threw
     */
    public void writeError(String component, Throwable error) {
        errors.incrementAndGet();
        final StackTraceElement[] stack = error.getStackTrace();
        write(
                Decision.UNEXPECTED_ERROR,
                "component",
                component,
                "error",
                error,
                "at",
                stack.length == 0 ? null : stack[0]);
    }

    /**
     * Returns the number of unexpected errors.
     *
     * @return number of calls of {@link #writeError} and of failures to write lines since the start
     */
    public long errorCount() {
        return errors.get();
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return number of lines dropped since the start
     */
    public long droppedCount() {
        return dropped.get();
    }

    /**
     * Lists what was counted since the start as gauges, which read their values only when they are scraped.
     *
     * @return gauges of dropped lines and of unexpected errors
     */
    public List<Gauge> gauges() {
        return List.of(
                Gauge.of("log.dropped", "lines of the decision log that were dropped", this::droppedCount),
                Gauge.of("errors", "unexpected errors of components", this::errorCount));
    }

    private void run() {
        boolean finalWrite = false;
        while (!finalWrite) {
            finalWrite = stopping;
            if (!finalWrite) {
                LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
            }
            writeQueued(finalWrite ? QUEUE_CAPACITY : MAX_LINES_PER_WRITE);
        }
    }

    private void writeQueued(int maxLines) {
        try {
            queue.drainTo(lines, maxLines);
            if (!lines.isEmpty()) {
                output.accept(encode());
            }
        } catch (Throwable e) {
            errors.incrementAndGet();
            dropped.addAndGet(lines.size());
        } finally {
            lines.clear();
        }
    }

    private String encode() {
        final StringBuilder text = new StringBuilder();
        lines.forEach(line -> appendEncoded(line, text));
        final long count = dropped.get();
        if (count > loggedDroppedCount) {
            loggedDroppedCount = count;
            text.append("{\"event\":\"log.dropped\",\"instance\":\"")
                    .append(instance)
                    .append("\",\"lines\":")
                    .append(count)
                    .append("}\n");
        }
        return text.toString();
    }

    /** Appends a line as a whole or, if one of its values cannot be encoded, not at all. */
    private void appendEncoded(Line line, StringBuilder text) {
        final ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        try {
            encode(line, encoded);
        } catch (IOException | RuntimeException e) {
            errors.incrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        text.append(encoded.toString(StandardCharsets.UTF_8));
    }

    private void encode(Line line, ByteArrayOutputStream text) throws IOException {
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("time", line.millis);
            generator.writeStringField("event", line.decision.label());
            generator.writeStringField("instance", instance);
            for (int index = 0; index + 1 < line.fields.length; index += 2) {
                encodeField(generator, String.valueOf(line.fields[index]), line.fields[index + 1]);
            }
            generator.writeEndObject();
        }
        text.write('\n');
    }

    private static void encodeField(JsonGenerator generator, String name, Object value) throws IOException {
        if (value instanceof Double number) {
            generator.writeNumberField(name, Math.round(number * 1000) / 1000.0);
        } else if (value instanceof Number number) {
            generator.writeNumberField(name, number.longValue());
        } else if (value instanceof Boolean bool) {
            generator.writeBooleanField(name, bool);
        } else if (value != null) {
            generator.writeStringField(name, value.toString());
        }
    }

    private record Line(Decision decision, long millis, Object[] fields) {}
}
