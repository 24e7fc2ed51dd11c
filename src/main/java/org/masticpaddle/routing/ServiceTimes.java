package org.masticpaddle.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the upstreams of one service take, learnt from their answers.
 *
 * <p>Not thread-safe: the owner's thread uses it.
 */
public final class ServiceTimes {
    /** Time to read a token on the most expensive model before anything was observed. */
    private static final double FIRST_TOKEN_MILLIS = 0.04;
    /** Time of a plain call before anything was observed. */
    private static final double FIRST_CALL_MILLIS = 80;
    /** Time of an answer that reads nothing, about one step of an engine and the way there and back. */
    private static final double BASE_MILLIS = 15;
    /** Time between two events on the most expensive model before anything was observed. */
    private static final double FIRST_EVENT_MILLIS = 60;
    /** Weight of the newest observation. */
    private static final double NEWEST = 0.08;
    /** Factor by which one observation may differ from what is known, so that one stall does not count for many. */
    private static final double LARGEST_STEP = 3;
    /** Smallest prompt from which the time for a token is learnt. */
    private static final int MIN_TOKENS = 200;

    private final Map<String, Double> millisPerToken = new HashMap<>();
    private final Map<String, Double> millisPerEvent = new HashMap<>();
    private double callMillis = FIRST_CALL_MILLIS;

    /**
     * Returns the time to the first token.
     *
     * @param model the model
     * @param relativeCost its price as part of the most expensive model's
     * @param unreadTokens tokens of the prompt that are not cached
     * @return milliseconds at an upstream without other work
     */
    public double prefillMillis(String model, double relativeCost, int unreadTokens) {
        return BASE_MILLIS + unreadTokens * perToken(model, relativeCost);
    }

    /**
     * Learns from an answer for which nothing else was waiting.
     *
     * @param model the model
     * @param relativeCost its price as part of the most expensive model's
     * @param unreadTokens tokens of the prompt that were not cached
     * @param millis time to the first token
     */
    public void recordPrefill(String model, double relativeCost, int unreadTokens, double millis) {
        if (unreadTokens >= MIN_TOKENS) {
            final double known = perToken(model, relativeCost);
            final double seen = Math.max(0, millis - BASE_MILLIS) / unreadTokens;
            millisPerToken.put(model, known + NEWEST * (bounded(seen, known) - known));
        }
    }

    /**
     * Returns the time between two events of a stream.
     *
     * @param model the model
     * @param relativeCost its price as part of the most expensive model's
     * @return milliseconds as lately observed
     */
    public double eventIntervalMillis(String model, double relativeCost) {
        return millisPerEvent.getOrDefault(model, FIRST_EVENT_MILLIS * relativeCost);
    }

    /**
     * Learns from a stream.
     *
     * @param model the model
     * @param relativeCost its price as part of the most expensive model's
     * @param millis mean time between two of its events
     */
    public void recordEventInterval(String model, double relativeCost, double millis) {
        final double known = eventIntervalMillis(model, relativeCost);
        millisPerEvent.put(model, known + NEWEST * (bounded(millis, known) - known));
    }

    /**
     * Returns the time of a plain call.
     *
     * @return milliseconds at an upstream with a free slot
     */
    public double callMillis() {
        return callMillis;
    }

    /**
     * Learns from the answer of a plain call.
     *
     * @param millis time to the answer
     */
    public void recordPlainRequest(double millis) {
        callMillis += NEWEST * (bounded(millis, callMillis) - callMillis);
    }

    private double perToken(String model, double relativeCost) {
        return millisPerToken.getOrDefault(model, FIRST_TOKEN_MILLIS * relativeCost);
    }

    private static double bounded(double seen, double known) {
        return Math.max(known / LARGEST_STEP, Math.min(known * LARGEST_STEP, seen));
    }
}
