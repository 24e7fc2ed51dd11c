package org.masticpaddle.fleet;

/**
 * One request that was sent to an upstream and has not ended there.
 *
 * <p>Not thread-safe: the owner's thread uses it.
 */
public final class InFlightRequest {
    private final String model;
    private final int uncachedTokens;
    private final double prefillMillis;
    private final long sentNanos;
    private boolean started;

    InFlightRequest(String model, int unreadTokens, double prefillMillis, long sentNanos) {
        this.model = model;
        this.uncachedTokens = unreadTokens;
        this.prefillMillis = prefillMillis;
        this.sentNanos = sentNanos;
    }

    String model() {
        return model;
    }

    /**
     * Returns what the upstream had to read when the request was sent.
     *
     * @return tokens of the prompt that were probably not cached
     */
    public int uncachedTokens() {
        return uncachedTokens;
    }

    double prefillMillis() {
        return started ? 0 : prefillMillis;
    }

    long sentNanos() {
        return sentNanos;
    }

    boolean started() {
        return started;
    }

    void start() {
        started = true;
    }
}
