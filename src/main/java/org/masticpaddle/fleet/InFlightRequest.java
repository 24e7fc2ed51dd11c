package org.masticpaddle.fleet;

/**
 * A request that was sent to an upstream and has not ended there.
 *
 * <p>Not thread-safe: confined to the thread of the {@link UpstreamState} that created it.
 */
public final class InFlightRequest {
    private final String model;
    private final int uncachedTokens;
    private final double prefillMillis;
    private final long sentNanos;
    private boolean answerStarted;

    InFlightRequest(String model, int uncachedTokens, double prefillMillis, long sentNanos) {
        this.model = model;
        this.uncachedTokens = uncachedTokens;
        this.prefillMillis = prefillMillis;
        this.sentNanos = sentNanos;
    }

    String model() {
        return model;
    }

    /**
     * Returns the part of the prompt that the upstream was expected to prefill when the request was sent.
     *
     * @return number of tokens that were probably not in its prefix cache, at least 1
     */
    public int uncachedTokens() {
        return uncachedTokens;
    }

    double prefillMillis() {
        return answerStarted ? 0 : prefillMillis;
    }

    long sentNanos() {
        return sentNanos;
    }

    boolean answerStarted() {
        return answerStarted;
    }

    void markAnswerStarted() {
        answerStarted = true;
    }
}
