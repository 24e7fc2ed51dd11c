package org.masticpaddle.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the service times that the upstreams of one service have shown.
 *
 * <p>Not thread-safe: confined to the thread of its owner.
 */
public final class ServiceTimes {
    /** Prefill time per token on the most expensive model, before the first observation. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;
    /** Service time of a plain request, before the first observation. */
    private static final double INITIAL_PLAIN_REQUEST_MILLIS = 80;
    /** Time to the first token without prefill, about one engine step and the network round trip. */
    private static final double FIXED_OVERHEAD_MILLIS = 15;
    /** Time between two events of a stream on the most expensive model, before the first observation. */
    private static final double INITIAL_EVENT_INTERVAL_MILLIS = 60;
    /** Weight of the newest observation in the moving averages. */
    private static final double SMOOTHING_FACTOR = 0.08;
    /**
     * Largest factor by which an observation may deviate from the average; clamping limits the effect of a single
     * stall.
     */
    private static final double MAX_OBSERVATION_RATIO = 3;
    /** Smallest number of uncached tokens from which the prefill time per token is derived. */
    private static final int MIN_UNCACHED_TOKENS = 200;

    private final Map<String, Double> millisPerToken = new HashMap<>();
    private final Map<String, Double> millisPerEvent = new HashMap<>();
    private double plainRequestMillis = INITIAL_PLAIN_REQUEST_MILLIS;

    /**
     * Returns the expected time to the first token.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @param uncachedTokens prompt tokens that are not in the upstream's prefix cache
     * @return time in milliseconds at an upstream without other requests
     */
    public double prefillMillis(String model, double relativeCost, int uncachedTokens) {
        return FIXED_OVERHEAD_MILLIS + uncachedTokens * prefillMillisPerToken(model, relativeCost);
    }

    /**
     * Records the time to the first token of a request that waited for no other prefill.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @param uncachedTokens prompt tokens that were not in the upstream's prefix cache; small prompts are ignored
     * @param millis observed time to the first token in milliseconds
     */
    public void recordPrefill(String model, double relativeCost, int uncachedTokens, double millis) {
        if (uncachedTokens >= MIN_UNCACHED_TOKENS) {
            final double average = prefillMillisPerToken(model, relativeCost);
            final double observedMillis = Math.max(0, millis - FIXED_OVERHEAD_MILLIS) / uncachedTokens;
            millisPerToken.put(model, average + SMOOTHING_FACTOR * (clamped(observedMillis, average) - average));
        }
    }

    /**
     * Returns the expected time between two events of a stream.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @return time in milliseconds
     */
    public double eventIntervalMillis(String model, double relativeCost) {
        return millisPerEvent.getOrDefault(model, INITIAL_EVENT_INTERVAL_MILLIS * relativeCost);
    }

    /**
     * Records the event interval of a stream. The first one replaces the initial estimate, which may be far off.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @param millis mean time between two events of the stream in milliseconds
     */
    public void recordEventInterval(String model, double relativeCost, double millis) {
        if (!millisPerEvent.containsKey(model)) {
            millisPerEvent.put(model, millis);
            return;
        }
        final double average = eventIntervalMillis(model, relativeCost);
        millisPerEvent.put(model, average + SMOOTHING_FACTOR * (clamped(millis, average) - average));
    }

    /**
     * Returns the expected service time of a plain request.
     *
     * @return time in milliseconds at an upstream with a free slot
     */
    public double plainRequestMillis() {
        return plainRequestMillis;
    }

    /**
     * Records the service time of a plain request.
     *
     * @param millis observed time to the answer in milliseconds
     */
    public void recordPlainRequest(double millis) {
        plainRequestMillis += SMOOTHING_FACTOR * (clamped(millis, plainRequestMillis) - plainRequestMillis);
    }

    private double prefillMillisPerToken(String model, double relativeCost) {
        return millisPerToken.getOrDefault(model, INITIAL_MILLIS_PER_TOKEN * relativeCost);
    }

    private static double clamped(double observed, double average) {
        return Math.max(average / MAX_OBSERVATION_RATIO, Math.min(average * MAX_OBSERVATION_RATIO, observed));
    }
}
