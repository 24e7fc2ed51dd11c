package org.masticpaddle.bench;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Results of one simulation by source, over the requests that arrived in the measurement window. Times are in nanoseconds
 * of virtual time. Not thread-safe.
 */
final class AdmissionOutcome {
    /** Start of the measurement window; by then queues, rates and concurrency limits have reached their steady state. */
    static final long WINDOW_START_NANOS = 10_000_000_000L;

    /**
     * End of the measurement window. The load continues after it until every request of the window has been answered or
     * has missed its deadline.
     */
    static final long WINDOW_END_NANOS = 100_000_000_000L;

    private final Map<String, Histogram> latencies = new HashMap<>();
    private final Map<String, Long> arrivals = new HashMap<>();
    private final Map<String, Long> answeredInTime = new HashMap<>();
    private final Map<String, Long> servedTokens = new HashMap<>();
    private final Map<Long, SimulatedRequest> unanswered = new HashMap<>();
    private long goodputTokens;
    private long lastArrivalNanos;

    void recordArrival(SimulatedRequest simulated) {
        lastArrivalNanos = simulated.request().arrivalNanos();
        if (inWindow(lastArrivalNanos)) {
            arrivals.merge(simulated.source(), 1L, Long::sum);
            unanswered.put(simulated.request().id(), simulated);
        }
    }

    void recordAnswer(SimulatedRequest simulated, long now) {
        final boolean inTime = now <= simulated.request().deadlineNanos();
        if (inWindow(now)) {
            servedTokens.merge(simulated.source(), simulated.tokens(), Long::sum);
            goodputTokens += inTime ? simulated.tokens() : 0;
        }
        if (inTime && unanswered.remove(simulated.request().id()) != null) {
            answeredInTime.merge(simulated.source(), 1L, Long::sum);
            recordLatency(simulated, now - simulated.request().arrivalNanos());
        }
    }

    /** Counts the tokens that a stream produced before it was cancelled to be resumed later. */
    void recordPreemption(SimulatedRequest simulated, long tokens, long now) {
        if (inWindow(now)) {
            servedTokens.merge(simulated.source(), tokens, Long::sum);
        }
    }

    /**
     * Ends the run. A request that was not answered in time counts with a latency equal to its timeout, or to the time
     * that it had waited at the end if that is longer.
     */
    AdmissionOutcome close() {
        unanswered
                .values()
                .forEach(simulated -> recordLatency(
                        simulated,
                        Math.max(
                                simulated.request().deadlineNanos()
                                        - simulated.request().arrivalNanos(),
                                lastArrivalNanos - simulated.request().arrivalNanos())));
        return this;
    }

    private void recordLatency(SimulatedRequest simulated, long nanos) {
        latencies.computeIfAbsent(simulated.source(), name -> new Histogram(3)).recordValue(nanos);
    }

    private static boolean inWindow(long timeNanos) {
        return timeNanos >= WINDOW_START_NANOS && timeNanos < WINDOW_END_NANOS;
    }

    /** 99th percentile of the time from arrival to the answer. */
    double p99Nanos(String source) {
        return latencies.get(source).getValueAtPercentile(99);
    }

    /** Share of the requests that were answered before their deadline. */
    double answeredShare(String source) {
        return answeredInTime.getOrDefault(source, 0L) / (double) arrivals.get(source);
    }

    /** Share of all served tokens that a source received. */
    double servedTokenShare(String source) {
        final long all =
                servedTokens.values().stream().mapToLong(Long::longValue).sum();
        return servedTokens.getOrDefault(source, 0L) / (double) Math.max(1, all);
    }

    /** Tokens of the answers that were complete before their deadline. */
    double goodputTokens() {
        return goodputTokens;
    }

    /** Latest arrival, not before a given time, that was not answered in time; the given time if there is none. */
    long lastUnansweredArrivalNanos(long fromNanos) {
        return unanswered.values().stream()
                .mapToLong(simulated -> simulated.request().arrivalNanos())
                .filter(timeNanos -> timeNanos >= fromNanos)
                .max()
                .orElse(fromNanos);
    }
}
