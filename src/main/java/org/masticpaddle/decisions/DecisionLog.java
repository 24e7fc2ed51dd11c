package org.masticpaddle.decisions;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
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

/**
 * Writes one JSON line for each decision.
 *
 * <p>Invariants: {@link #write} never blocks; at most {@link #CAPACITY} lines wait, and routine ones are dropped once half
 * of them do; lines that were dropped are counted and the count is written. Thread-safe.
 */
public final class DecisionLog implements Service {
    /** Lines that may wait for the output. */
    static final int CAPACITY = 2_048;

    /** Pause between two writes, which bounds the wake-ups of the writing thread. */
    private static final long PAUSE_NANOS = 150_000_000L;
    /** Lines written in a second at most: at 400 bytes a line, 200 KB a second. */
    private static final int MAX_LINES_PER_PAUSE = 75;

    private final String instance;
    private final LongSupplier wallMillis;
    private final Consumer<String> output;
    private final ArrayBlockingQueue<Line> waiting = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final JsonFactory json = new JsonFactory();
    private final Thread writer = new Thread(this::run, "decision-log");
    private volatile boolean stopping;
    private long reportedDropped;

    /**
     * Creates a log that is not started.
     *
     * @param instance identifier of the instance, part of each line
     * @param wallMillis time of day in milliseconds since 1970
     * @param output receives text of one line or more; may block
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

    /** Writes the lines that wait and ends. */
    @Override
    public void stop() {
        stopping = true;
        LockSupport.unpark(writer);
        try {
            writer.join(STOP_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static final long STOP_MILLIS = 500;

    /**
     * Writes a line.
     *
     * @param decision the event
     * @param fields names and values in turn: texts, numbers and truth values; an absent value is left out
     */
    public void write(Decision decision, Object... fields) {
        final int limit = decision.weight() == Decision.Priority.IMPORTANT ? CAPACITY : CAPACITY / 2;
        if (waiting.size() >= limit || !waiting.offer(new Line(decision, wallMillis.getAsLong(), fields))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the number of lines that were dropped.
     *
     * @return lines since the start
     */
    public long dropped() {
        return dropped.get();
    }

    private void run() {
        boolean last = false;
        while (!last) {
            last = stopping;
            if (!last) {
                LockSupport.parkNanos(PAUSE_NANOS);
            }
            final List<Line> lines = new ArrayList<>();
            waiting.drainTo(lines, last ? CAPACITY : MAX_LINES_PER_PAUSE);
            if (!lines.isEmpty()) {
                output.accept(encode(lines));
            }
        }
    }

    private String encode(List<Line> lines) {
        final ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            for (final Line line : lines) {
                encode(line, text);
            }
            final long count = dropped.get();
            if (count > reportedDropped) {
                reportedDropped = count;
                text.write(("{\"event\":\"log.dropped\",\"instance\":\"" + instance + "\",\"lines\":" + count + "}\n")
                        .getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString(StandardCharsets.UTF_8);
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
        } else if (value instanceof Boolean truth) {
            generator.writeBooleanField(name, truth);
        } else if (value != null) {
            generator.writeStringField(name, value.toString());
        }
    }

    private record Line(Decision decision, long millis, Object[] fields) {}
}
