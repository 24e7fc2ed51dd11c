package org.masticpaddle.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that an engine has probably cached, by what was sent to it. The least recently used parts go first.
 *
 * <p>Invariant: the tokens kept do not exceed the capacity. Not thread-safe: the owner's thread uses it.
 */
final class PrefixMemory {
    /** Part of an engine's memory that cached parts have beside running requests. */
    private static final double CACHED_SHARE = 0.5;

    private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    int cachedTokens(String model, List<PromptSegment> prompt) {
        int cached = 0;
        for (final PromptSegment part : prompt) {
            final Integer known = parts.get(key(model, part));
            if (known == null) {
                break;
            }
            cached += known;
        }
        return cached;
    }

    void remember(String model, List<PromptSegment> prompt, long capacityTokens) {
        for (final PromptSegment part : prompt) {
            if (parts.put(key(model, part), part.tokens()) == null) {
                tokens += part.tokens();
            }
        }
        final Iterator<Map.Entry<String, Integer>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens * CACHED_SHARE && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }

    private static String key(String model, PromptSegment part) {
        return model + ' ' + part.id();
    }
}
