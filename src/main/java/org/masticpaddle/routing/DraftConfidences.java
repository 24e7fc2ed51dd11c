package org.masticpaddle.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * What the confidences that models report of their drafts say, by route and model.
 *
 * <p>Invariants: a model that reports the same confidence of all its drafts is not listened to; neither are values outside of 0 to 100.
 * Not thread-safe: confined to the thread of its owner.
 */
public final class DraftConfidences {
    /** Number of drafts after which confidences that do not differ say nothing. */
    private static final int MIN_DRAFTS = 30;
    /** Weight of the newest confidence in mean and variance. */
    private static final double SMOOTHING_FACTOR = 0.05;
    /** Standard deviation in percent below which confidences do not differ. */
    private static final double MIN_DEVIATION_PERCENT = 1;
    /** Largest number of routes and models that are remembered. */
    private static final int MAX_SOURCES = 256;

    private final Map<Source, Spread> spreads = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Source, Spread> eldest) {
            return size() > MAX_SOURCES;
        }
    };

    /**
     * Records the confidence of a draft and returns it if it says something of the draft.
     *
     * @param route name of the route
     * @param model name of the model
     * @param confidence confidence in percent that the model reports, empty if it reports none
     * @return the confidence, empty if it is outside of 0 to 100, or if all drafts of the model on the route have had the same one
     */
    public OptionalInt heed(String route, String model, OptionalInt confidence) {
        if (confidence.isEmpty() || confidence.getAsInt() < 0 || confidence.getAsInt() > 100) {
            return OptionalInt.empty();
        }
        final Spread spread = spreads.computeIfAbsent(new Source(route, model), source -> new Spread());
        spread.add(confidence.getAsInt());
        return spread.meaningful() ? confidence : OptionalInt.empty();
    }

    /** Route and model of drafts. Immutable. */
    private record Source(String route, String model) {}

    /** Fading mean and variance. Not thread-safe. */
    private static final class Spread {
        private int drafts;
        private double mean;
        private double variance;

        void add(double confidence) {
            final double share = Math.max(SMOOTHING_FACTOR, 1.0 / (drafts + 1));
            drafts = Math.min(MIN_DRAFTS, drafts + 1);
            final double distance = confidence - mean;
            mean += share * distance;
            variance = (1 - share) * (variance + share * distance * distance);
        }

        boolean meaningful() {
            return drafts < MIN_DRAFTS || variance >= MIN_DEVIATION_PERCENT * MIN_DEVIATION_PERCENT;
        }
    }
}
