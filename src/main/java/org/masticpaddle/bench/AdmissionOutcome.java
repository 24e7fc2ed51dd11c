package org.masticpaddle.bench;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/** Answers of one run, by source, over the requests that arrived in the measured window. */
final class AdmissionOutcome {
    /** Time in which queues, rates and bounds reach their steady state. */
    static final long FROM_NANOS = 10_000_000_000L;

    /** The load goes on until every request of the window has had its answer or missed its deadline. */
    static final long TO_NANOS = 100_000_000_000L;

    private final Map<String, Histogram> latencies = new HashMap<>();
    private final Map<String, Long> arrived = new HashMap<>();
    private final Map<String, Long> inTime = new HashMap<>();
    private final Map<String, Long> servedTokens = new HashMap<>();
    private final Map<Long, SimulatedRequest> failed = new HashMap<>();
    private long goodTokens;
    private long last;

    void arrived(SimulatedRequest work) {
        last = work.request().arrivalNanos();
        if (measured(last)) {
            arrived.merge(work.source(), 1L, Long::sum);
            failed.put(work.request().id(), work);
        }
    }

    void answered(SimulatedRequest work, long now) {
        final boolean useful = now <= work.request().deadlineNanos();
        if (measured(now)) {
            servedTokens.merge(work.source(), work.tokens(), Long::sum);
            goodTokens += useful ? work.tokens() : 0;
        }
        if (useful && failed.remove(work.request().id()) != null) {
            inTime.merge(work.source(), 1L, Long::sum);
            latency(work, now - work.request().arrivalNanos());
        }
    }

    /** Counts the tokens of a stream that was cancelled to be resumed. */
    void served(SimulatedRequest work, long tokens, long now) {
        if (measured(now)) {
            servedTokens.merge(work.source(), tokens, Long::sum);
        }
    }

    /** Ends the run: a request without a useful answer counts with its patience, or its wait if that is longer. */
    AdmissionOutcome close() {
        failed.values()
                .forEach(work -> latency(
                        work,
                        Math.max(
                                work.request().deadlineNanos() - work.request().arrivalNanos(),
                                last - work.request().arrivalNanos())));
        return this;
    }

    private void latency(SimulatedRequest work, long nanos) {
        latencies.computeIfAbsent(work.source(), name -> new Histogram(3)).recordValue(nanos);
    }

    private static boolean measured(long at) {
        return at >= FROM_NANOS && at < TO_NANOS;
    }

    /** 99th percentile of the time to the answer, in nanoseconds. */
    double p99(String source) {
        return latencies.get(source).getValueAtPercentile(99);
    }

    /** Part of the requests answered before their deadline. */
    double answeredShare(String source) {
        return inTime.getOrDefault(source, 0L) / (double) arrived.get(source);
    }

    /** Part of all served tokens that a source got. */
    double servedShare(String source) {
        final long all =
                servedTokens.values().stream().mapToLong(Long::longValue).sum();
        return servedTokens.getOrDefault(source, 0L) / (double) Math.max(1, all);
    }

    /** Tokens of answers that came before their deadline. */
    double goodTokens() {
        return goodTokens;
    }

    /** Latest arrival after a time that got no useful answer, or that time if there is none. */
    long lastFailure(long from) {
        return failed.values().stream()
                .mapToLong(work -> work.request().arrivalNanos())
                .filter(at -> at >= from)
                .max()
                .orElse(from);
    }
}
