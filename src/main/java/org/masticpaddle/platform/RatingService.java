package org.masticpaddle.platform;

import java.util.concurrent.CompletableFuture;

/** The platform's service that rates the quality of answers. Thread-safe. */
public interface RatingService {
    /**
     * Rates one answer.
     *
     * @param request prompt and answer to rate
     * @return quality between 0 and 1; completes exceptionally with {@link PlatformException}
     */
    CompletableFuture<Double> rate(RatingRequest request);

    /**
     * Answer to rate, with its request. Immutable.
     *
     * @param requestId identifier of the request
     * @param kind kind of the request
     * @param version version that produced the answer, as {@code model/version}
     * @param prompt text of the prompt
     * @param answer text of the answer
     */
    record RatingRequest(String requestId, String kind, String version, String prompt, String answer) {}
}
