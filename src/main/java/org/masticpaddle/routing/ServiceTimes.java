package org.masticpaddle.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

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

    /** Number of observations from which an average no longer depends on its initial value. */
    private static final int SETTLED_OBSERVATIONS = 30;

    /** Largest number of models with averages of their own; on some routes callers name the model. */
    private static final int MAX_MODELS = 256;

    private final Map<String, MovingAverage> millisPerToken = new ByModel<>();
    private final Map<String, PrefillEstimate> prefillEstimates = new ByModel<>();
    private final Map<String, MovingAverage> millisPerEvent = new ByModel<>();
    private final MovingAverage plainRequestMillis = new MovingAverage(INITIAL_PLAIN_REQUEST_MILLIS);

    /**
     * Returns the time to the first token as if each token took its part of the whole of such times. A wait counts as slow prefill, so that
     * this is a measure of the load of a prefill; {@link #firstTokenMillis} predicts the time.
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
     * Returns the expected time to the first token, by a line through such times: a wait before the prefill is not taken for slow prefill.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @param uncachedTokens prompt tokens that are not in the upstream's prefix cache
     * @return time in milliseconds at an upstream without other requests
     */
    public double firstTokenMillis(String model, double relativeCost, int uncachedTokens) {
        final PrefillEstimate estimate = prefillEstimates.get(model);
        return (estimate == null ? initialPrefill(relativeCost) : estimate).millis(uncachedTokens);
    }

    /**
     * Records the time to the first token of a request that waited for no other prefill.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @param uncachedTokens prompt tokens that were not in the upstream's prefix cache; small prompts are ignored
     * @param millis observed time to the first token in milliseconds
     * @return observed time, relative to the one expected by the average; empty if there is none yet or the prompt is ignored
     */
    public OptionalDouble recordPrefill(String model, double relativeCost, int uncachedTokens, double millis) {
        if (uncachedTokens < MIN_UNCACHED_TOKENS) {
            return OptionalDouble.empty();
        }
        prefillEstimates
                .computeIfAbsent(model, name -> initialPrefill(relativeCost))
                .add(uncachedTokens, millis);
        final double expectedMillis = prefillMillis(model, relativeCost, uncachedTokens);
        final OptionalDouble tokenRatio = millisPerToken
                .computeIfAbsent(model, name -> new MovingAverage(INITIAL_MILLIS_PER_TOKEN * relativeCost))
                .add(Math.max(0, millis - FIXED_OVERHEAD_MILLIS) / uncachedTokens);
        return tokenRatio.isEmpty() ? tokenRatio : OptionalDouble.of(millis / expectedMillis);
    }

    /**
     * Returns the expected time between two events of a stream.
     *
     * @param model name of the model
     * @param relativeCost ratio of its price to that of the most expensive model
     * @return time in milliseconds
     */
    public double eventIntervalMillis(String model, double relativeCost) {
        final MovingAverage average = millisPerEvent.get(model);
        return average == null ? INITIAL_EVENT_INTERVAL_MILLIS * relativeCost : average.value;
    }

    /**
     * Records the event interval of a stream. The first one replaces the initial estimate, which may be far off.
     *
     * @param model name of the model
     * @param millis mean time between two events of the stream in milliseconds
     * @return observed interval, relative to the average; empty if there is none yet
     */
    public OptionalDouble recordEventInterval(String model, double millis) {
        return millisPerEvent
                .computeIfAbsent(model, name -> new MovingAverage(millis))
                .add(millis);
    }

    /**
     * Returns the expected service time of a plain request.
     *
     * @return time in milliseconds at an upstream with a free slot
     */
    public double plainRequestMillis() {
        return plainRequestMillis.value;
    }

    /**
     * Records the service time of a plain request.
     *
     * @param millis observed time to the answer in milliseconds
     * @return observed time, relative to the average; empty if there is none yet
     */
    public OptionalDouble recordPlainRequest(double millis) {
        return plainRequestMillis.add(millis);
    }

    private static PrefillEstimate initialPrefill(double relativeCost) {
        return new PrefillEstimate(FIXED_OVERHEAD_MILLIS, INITIAL_MILLIS_PER_TOKEN * relativeCost);
    }

    private double prefillMillisPerToken(String model, double relativeCost) {
        final MovingAverage average = millisPerToken.get(model);
        return average == null ? INITIAL_MILLIS_PER_TOKEN * relativeCost : average.value;
    }

    /** Estimates by model. Those of the model that was used least recently are forgotten if there are too many. */
    private static final class ByModel<T> extends LinkedHashMap<String, T> {
        private static final long serialVersionUID = 1L;

        ByModel() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
            return size() > MAX_MODELS;
        }
    }

    /** Exponential moving average. Not thread-safe. */
    private static final class MovingAverage {
        private double value;
        private int observations;

        MovingAverage(double initial) {
            value = initial;
        }

        /** Adds an observation and returns its ratio to the average before, empty until the average has settled. */
        OptionalDouble add(double observed) {
            final OptionalDouble ratio = observations < SETTLED_OBSERVATIONS || value <= 0
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(observed / value);
            final double clamped =
                    Math.max(value / MAX_OBSERVATION_RATIO, Math.min(value * MAX_OBSERVATION_RATIO, observed));
            value += SMOOTHING_FACTOR * (clamped - value);
            observations = Math.min(SETTLED_OBSERVATIONS, observations + 1);
            return ratio;
        }
    }
}
