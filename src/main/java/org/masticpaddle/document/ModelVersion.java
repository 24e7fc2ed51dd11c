package org.masticpaddle.document;

import java.util.Map;
import java.util.Objects;

/**
 * Declaration of a version. Immutable and thread-safe.
 *
 * @param name model and version
 * @param service service in the instance list whose upstreams serve it
 * @param state whether it receives new work
 * @param promptPriceMicros price of 1,000 prompt tokens, in millionths of the currency unit
 * @param outputPriceMicros price of 1,000 generated tokens, in millionths of the currency unit
 * @param quality expected quality between 0 and 1 before any rating is known
 * @param qualityByKind expected quality by request kind, where it differs
 * @param priorWeight number of ratings that the expected quality counts for
 * @param sessionEnd what becomes of sessions when the version is withdrawn
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
     * @param kind request kind
     * @return quality between 0 and 1
     */
    public double declaredQuality(String kind) {
        return qualityByKind.getOrDefault(kind, quality);
    }

    /**
     * Computes the price of an answer.
     *
     * @param promptTokens tokens of the prompt
     * @param outputTokens generated tokens
     * @return price in millionths of the currency unit, rounded up
     */
    public long priceMicros(int promptTokens, int outputTokens) {
        return Math.floorDiv(promptTokens * promptPriceMicros + outputTokens * outputPriceMicros + 999, 1000);
    }

    /** Whether a version receives new work. */
    public enum State {
        /** Receives new work. */
        ACTIVE,
        /** Receives no new work; running work finishes. */
        WITHDRAWN
    }

    /** What becomes of the sessions of a withdrawn version. */
    public enum SessionEnd {
        /** The next request of the session moves to an allowed active version. */
        MOVE,
        /** The next request of the session is refused, and the caller starts a new session. */
        REFUSE
    }
}
