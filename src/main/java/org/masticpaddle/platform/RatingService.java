package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's service that rates answers. Thread-safe. */
public interface RatingService {
    /**
     * Rates one answer.
     *
     * @param request what was asked and answered
     * @return quality between 0 and 1; fails with {@link PlatformException}
     */
    CompletableFuture<Double> rate(RatingRequest request);

    /**
     * One answer to rate. Immutable.
     *
     * @param requestId identifier of the request
     * @param kind request kind
     * @param version version that answered, {@code model/version}
     * @param prompt the prompt
     * @param answer the answer
     */
    record RatingRequest(String requestId, String kind, String version, String prompt, String answer) {}
}
