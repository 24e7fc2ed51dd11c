package org.masticpaddle.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt segments are in the prefix cache of an engine from the prompts that were sent to it. The least
 * recently used segments are evicted first.
 *
 * <p>Invariant: after each {@link #add}, the segments kept do not exceed the share of the engine's capacity that is
 * assumed to be cache, and are at most {@link #MAX_SEGMENTS}, since callers state their lengths. Not thread-safe: confined to the
 * thread of its owner.
 */
final class PrefixCacheEstimate {
    /** Share of an engine's KV memory assumed to hold cached segments; running requests use the rest. */
    private static final double CACHE_CAPACITY_FRACTION = 0.5;

    /** Largest number of segments, however short they are. */
    static final int MAX_SEGMENTS = 8_192;

    private final Map<String, Integer> segments = new LinkedHashMap<>(16, 0.75f, true);
    private long totalTokens;

    int cachedTokens(String model, List<PromptSegment> prompt) {
        int cached = 0;
        for (final PromptSegment segment : prompt) {
            final Integer segmentTokens = segments.get(key(model, segment));
            if (segmentTokens == null) {
                break;
            }
            cached += segmentTokens;
        }
        return cached;
    }

    void add(String model, List<PromptSegment> prompt, long capacityTokens) {
        for (final PromptSegment segment : prompt) {
            final Integer previous = segments.put(key(model, segment), segment.tokens());
            totalTokens += segment.tokens() - (previous == null ? 0 : previous);
        }
        final Iterator<Map.Entry<String, Integer>> leastRecentlyUsed =
                segments.entrySet().iterator();
        while ((totalTokens > capacityTokens * CACHE_CAPACITY_FRACTION || segments.size() > MAX_SEGMENTS)
                && leastRecentlyUsed.hasNext()) {
            totalTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }

    void clear() {
        segments.clear();
        totalTokens = 0;
    }

    private static String key(String model, PromptSegment segment) {
        return model + ' ' + segment.id();
    }
}
