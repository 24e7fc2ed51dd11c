package org.masticpaddle.control;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

import org.masticpaddle.metrics.Gauge;

/**
 * Counts the calls to a shared log by stream and kind, since every call is billed. A call counts when it is made, whatever
 * its result. Thread-safe.
 */
public final class CountedSharedLog implements SharedLog {
    private final SharedLog log;
    private final Map<LogStream, Map<Call, LongAdder>> counts = new EnumMap<>(LogStream.class);

    /**
     * Creates counters at zero.
     *
     * @param log receiver of the calls
     */
    public CountedSharedLog(SharedLog log) {
        this.log = Objects.requireNonNull(log, "log is null");
        for (final LogStream stream : LogStream.values()) {
            final Map<Call, LongAdder> streamCounts = new EnumMap<>(Call.class);
            for (final Call call : Call.values()) {
                streamCounts.put(call, new LongAdder());
            }
            counts.put(stream, streamCounts);
        }
    }

    @Override
    public long era() {
        return log.era();
    }

    @Override
    public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
        counts.get(stream).get(Call.LIST).increment();
        return log.newest(stream, after);
    }

    @Override
    public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
        counts.get(stream).get(Call.READ).increment();
        return log.read(stream, from, wait);
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong expectedOffset) {
        counts.get(stream).get(Call.APPEND).increment();
        return log.append(stream, key, value, expectedOffset);
    }

    /**
     * Returns the counters as a gauge, which reads their values only when it is scraped.
     *
     * @return gauge {@code gateway.store_calls_by_stream} with the labels {@code stream} and {@code call}
     */
    public Gauge gauge() {
        return new Gauge(
                "gateway.store_calls_by_stream",
                "calls to the shared log by stream and kind",
                () -> counts.entrySet().stream()
                        .flatMap(stream -> stream.getValue().entrySet().stream()
                                .map(call -> new Gauge.Reading(
                                        call.getValue().sum(),
                                        Map.of("stream", label(stream.getKey()), "call", label(call.getKey())))))
                        .toList());
    }

    /**
     * Summarises the counters for a log line.
     *
     * @return streams and kinds with their counts in order, without those at zero, for example
     *     {@code operator.list 1, operator.read 12}
     */
    public String summary() {
        return counts.entrySet().stream()
                .flatMap(stream -> stream.getValue().entrySet().stream()
                        .filter(call -> call.getValue().sum() > 0)
                        .map(call -> label(stream.getKey()) + "." + label(call.getKey()) + " "
                                + call.getValue().sum()))
                .collect(Collectors.joining(", "));
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** Kinds of calls. */
    private enum Call {
        LIST,
        READ,
        APPEND
    }
}
