package org.masticpaddle.routing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;

import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.wire.Hashing;

/**
 * Engines that are expected to hold the shared segments of a prompt in their caches, equal in all gateways.
 *
 * <p>Load pattern: many gateways that each see a small part of the traffic, so that none of them knows what the others have sent
 * to an engine. All gateways derive the same order of the engines from the last shared segment (rendezvous hashing) and expect
 * the segment at the first engine and, with decreasing probability, at those to which it spills over when the first ones are
 * loaded. Earlier segments of the prompt are shared by many more requests, so that every engine is expected to hold them. An
 * engine that comes or goes changes the first engine of its own segments only. Immutable.
 */
final class SegmentHolders {
    /** Probability that an engine holds the last shared segment, by its position in the order. */
    private static final double[] PROBABILITY_BY_POSITION = {0.95, 0.5, 0.25};
    /** Probability that an engine holds the segments before the last shared one. */
    private static final double EARLIER_PROBABILITY = 0.9;

    private final List<PromptSegment> prompt;
    private final UpstreamState[] first = new UpstreamState[PROBABILITY_BY_POSITION.length];

    /**
     * Orders the engines for a prompt.
     *
     * @param model model that runs the prompt; each model has a cache of its own
     * @param prompt segments of the prompt; the last one is not shared
     * @param engines engines that may run the prompt
     */
    SegmentHolders(String model, List<PromptSegment> prompt, Collection<UpstreamState> engines) {
        this.prompt = Objects.requireNonNull(prompt, "prompt is null");
        if (prompt.size() < 2) {
            return;
        }
        final long key =
                Hashing.hash64(model + ' ' + prompt.get(prompt.size() - 2).id());
        final long[] weights = new long[first.length];
        for (final UpstreamState engine : engines) {
            UpstreamState candidate = engine;
            long weight = Hashing.rendezvousWeight(key, engine.idHash());
            for (int position = 0; position < first.length && candidate != null; position++) {
                if (first[position] == null || Long.compareUnsigned(weight, weights[position]) > 0) {
                    final UpstreamState displaced = first[position];
                    final long displacedWeight = weights[position];
                    first[position] = candidate;
                    weights[position] = weight;
                    candidate = displaced;
                    weight = displacedWeight;
                }
            }
        }
    }

    /**
     * Returns the expected number of prompt tokens that an engine holds.
     *
     * @param engine engine given to the constructor
     * @return tokens of the shared segments, each with the probability that the engine holds it
     */
    double expectedTokens(UpstreamState engine) {
        if (prompt.size() < 2) {
            return 0;
        }
        final int last = prompt.size() - 2;
        final double lastProbability = probability(engine);
        double tokens = lastProbability * prompt.get(last).tokens();
        for (final PromptSegment earlier : prompt.subList(0, last)) {
            tokens += Math.max(EARLIER_PROBABILITY, lastProbability) * earlier.tokens();
        }
        return tokens;
    }

    private double probability(UpstreamState engine) {
        for (int position = 0; position < first.length; position++) {
            if (first[position] == engine) {
                return PROBABILITY_BY_POSITION[position];
            }
        }
        return 0;
    }
}
