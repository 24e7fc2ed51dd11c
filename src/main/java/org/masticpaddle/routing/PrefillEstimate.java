package org.masticpaddle.routing;

/**
 * Line through the times to the first token that one model has shown by the number of tokens to read: a fixed time and a time per
 * token, both fading.
 *
 * <p>Load pattern: an engine reads prompts fast and lets them wait behind the prompts of others. A wait is as long before a short
 * prompt as before a long one, so that it moves the fixed time and not the time per token. Waits that are rare move neither much: what
 * exceeds the line counts less than what falls short of it.
 *
 * <p>Invariants: neither part is negative; while all prompts have one length, the estimate for that length is that of their times. Not
 * thread-safe.
 */
final class PrefillEstimate {
    /** Part of the older observations that remains with each new one. */
    private static final double FADING_FACTOR = 0.99;
    /** Weight of an observation in the fixed time. */
    private static final double FIXED_SMOOTHING_FACTOR = 0.08;
    /** Weight of a time above the line relative to one below it, so that the fixed time leaves most waits out. */
    private static final double EXCESS_WEIGHT = 0.25;
    /** Largest factor by which an observation may exceed or fall short of the line. */
    private static final double MAX_OBSERVATION_RATIO = 3;
    /**
     * Variance of the number of tokens, relative to the square of their mean, at which lengths and the mean time per token count alike in
     * the time per token.
     */
    private static final double SPREAD_OF_EQUAL_WEIGHT = 0.02;

    private final double initialMillisPerToken;
    private final double initialFixedMillis;
    private double fixedMillis;
    private double weight;
    private double meanTokens;
    private double meanMillis;
    private double tokenVariance;
    private double covariance;

    /**
     * Creates an estimate without observations.
     *
     * @param fixedMillis time to the first token without prefill
     * @param millisPerToken time per token
     */
    PrefillEstimate(double fixedMillis, double millisPerToken) {
        this.fixedMillis = fixedMillis;
        initialFixedMillis = fixedMillis;
        initialMillisPerToken = millisPerToken;
    }

    /** Returns the expected time to the first token, without the wait for other requests. */
    double millis(double tokens) {
        return fixedMillis + tokens * millisPerToken();
    }

    /** Returns the time per token. */
    double millisPerToken() {
        if (weight == 0) {
            return initialMillisPerToken;
        }
        final double ratio = Math.max(0, meanMillis - initialFixedMillis) / meanTokens;
        final double priorVariance = SPREAD_OF_EQUAL_WEIGHT * meanTokens * meanTokens;
        return Math.max(0, (covariance + priorVariance * ratio) / (tokenVariance + priorVariance));
    }

    /**
     * Adds an observation.
     *
     * @param tokens number of tokens that were read, positive
     * @param millis time to the first token
     */
    void add(double tokens, double millis) {
        final double expected = millis(tokens);
        final double clamped =
                Math.max(expected / MAX_OBSERVATION_RATIO, Math.min(expected * MAX_OBSERVATION_RATIO, millis));
        final double share = 1 / (FADING_FACTOR * weight + 1);
        final double tokenDistance = tokens - meanTokens;
        final double millisDistance = clamped - meanMillis;
        meanTokens += share * tokenDistance;
        meanMillis += share * millisDistance;
        tokenVariance = (1 - share) * (tokenVariance + share * tokenDistance * tokenDistance);
        covariance = (1 - share) * (covariance + share * tokenDistance * millisDistance);
        weight = 1 / share;
        final double excess = clamped - millis(tokens);
        fixedMillis = Math.max(0, fixedMillis + FIXED_SMOOTHING_FACTOR * (excess > 0 ? EXCESS_WEIGHT : 1) * excess);
    }
}
