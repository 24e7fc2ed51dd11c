package org.masticpaddle.document;

import java.util.Map;
import java.util.Objects;

/**
 * Declaration of a model version. Immutable and thread-safe.
 *
 * @param name names of the model and the version
 * @param service service in the instance list whose upstreams run the version
 * @param state whether the version receives new requests
 * @param promptPriceMicros price of 1,000 prompt tokens, in millionths of the currency unit
 * @param outputPriceMicros price of 1,000 generated tokens, in millionths of the currency unit
 * @param quality expected quality without ratings, between 0 and 1
 * @param qualityByKind expected quality by kind of request, for kinds where it differs from {@code quality}
 * @param priorWeight weight of the expected quality, as a number of ratings
 * @param sessionEnd what happens to sessions when the version is withdrawn
 */
public record ModelVersion(
        VersionName name,
        String service,
        State state,
        long promptPriceMicros,
        long outputPriceMicros,
        double quality,
        Map<String, Double> qualityByKind,
        double priorWeight,
        SessionEnd sessionEnd) {
    /** Checks the arguments and copies the map. */
    public ModelVersion {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(sessionEnd, "sessionEnd is null");
        qualityByKind = Map.copyOf(qualityByKind);
    }

    /**
     * Returns the declared quality for a kind of request.
     *
     * @param kind kind of request
     * @return quality between 0 and 1
     */
    public double declaredQuality(String kind) {
        return qualityByKind.getOrDefault(kind, quality);
    }

    /**
     * Computes the price of an answer.
     *
     * @param promptTokens number of prompt tokens
     * @param outputTokens number of generated tokens
     * @return price in millionths of the currency unit, rounded up
     */
    public long priceMicros(int promptTokens, int outputTokens) {
        return Math.floorDiv(promptTokens * promptPriceMicros + outputTokens * outputPriceMicros + 999, 1000);
    }

    /** State of a version. */
    public enum State {
        /** The version receives new requests. */
        ACTIVE,
        /** The version receives no new requests; requests in flight complete. */
        WITHDRAWN
    }

    /** What happens to the sessions of a withdrawn version. */
    public enum SessionEnd {
        /** The next request of the session moves to an allowed active version. */
        MOVE,
        /** The next request of the session is rejected, and the caller must start a new session. */
        REFUSE
    }
}
