package org.masticpaddle.bench;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/** Answers of one run, by source, over the requests that arrived in the measured window. */
final class AdmissionOutcome {
    /** Time in which queues, rates and bounds reach their steady state. */
    static final long WINDOW_START_NANOS = 10_000_000_000L;

    /** The load goes on until every request of the window has had its answer or missed its deadline. */
    static final long WINDOW_END_NANOS = 100_000_000_000L;

    private final Map<String, Histogram> latencies = new HashMap<>();
    private final Map<String, Long> arrived = new HashMap<>();
    private final Map<String, Long> answeredInTime = new HashMap<>();
    private final Map<String, Long> servedTokens = new HashMap<>();
    private final Map<Long, SimulatedRequest> unanswered = new HashMap<>();
    private long goodTokens;
    private long lastArrivalNanos;

    void recordArrival(SimulatedRequest work) {
        lastArrivalNanos = work.request().arrivalNanos();
        if (inWindow(lastArrivalNanos)) {
            arrived.merge(work.source(), 1L, Long::sum);
            unanswered.put(work.request().id(), work);
        }
    }

    void recordAnswer(SimulatedRequest work, long now) {
        final boolean useful = now <= work.request().deadlineNanos();
        if (inWindow(now)) {
            servedTokens.merge(work.source(), work.tokens(), Long::sum);
            goodTokens += useful ? work.tokens() : 0;
        }
        if (useful && unanswered.remove(work.request().id()) != null) {
            answeredInTime.merge(work.source(), 1L, Long::sum);
            recordLatency(work, now - work.request().arrivalNanos());
        }
    }

    /** Counts the tokens of a stream that was cancelled to be resumed. */
    void recordPreemption(SimulatedRequest work, long tokens, long now) {
        if (inWindow(now)) {
            servedTokens.merge(work.source(), tokens, Long::sum);
        }
    }

    /** Ends the run: a request without a useful answer counts with its patience, or its wait if that is longer. */
    AdmissionOutcome close() {
        unanswered.values()
                .forEach(work -> recordLatency(
                        work,
                        Math.max(
                                work.request().deadlineNanos() - work.request().arrivalNanos(),
                                lastArrivalNanos - work.request().arrivalNanos())));
        return this;
    }

    private void recordLatency(SimulatedRequest work, long nanos) {
        latencies.computeIfAbsent(work.source(), name -> new Histogram(3)).recordValue(nanos);
    }

    private static boolean inWindow(long at) {
        return at >= WINDOW_START_NANOS && at < WINDOW_END_NANOS;
    }

    /** 99th percentile of the time to the answer, in nanoseconds. */
    double p99Nanos(String source) {
        return latencies.get(source).getValueAtPercentile(99);
    }

    /** Part of the requests answered before their deadline. */
    double answeredShare(String source) {
        return answeredInTime.getOrDefault(source, 0L) / (double) arrived.get(source);
    }

    /** Part of all served tokens that a source got. */
    double servedTokenShare(String source) {
        final long all =
                servedTokens.values().stream().mapToLong(Long::longValue).sum();
        return servedTokens.getOrDefault(source, 0L) / (double) Math.max(1, all);
    }

    /** Tokens of answers that came before their deadline. */
    double goodputTokens() {
        return goodTokens;
    }

    /** Latest arrival after a time that got no useful answer, or that time if there is none. */
    long lastUnansweredArrivalNanos(long from) {
        return unanswered.values().stream()
                .mapToLong(work -> work.request().arrivalNanos())
                .filter(at -> at >= from)
                .max()
                .orElse(from);
    }
}
