package org.masticpaddle.standin;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.platform.EngineControl.CacheEvent;
import org.masticpaddle.platform.PrefixBlocks;

/**
 * LRU cache of prompt prefixes in blocks, with a log of the latest 10,000 insertions and evictions. Not thread-safe.
 *
 * <p>A block's hash covers the version and all words up to the end of the block, so that equal hashes mean equal prefixes.
 */
final class PrefixCache {
    private static final int MAX_RETAINED_EVENTS = 10_000;

    private final int capacityBlocks;
    private final int blockTokens;
    private final long eventLagNanos;
    private final int gapEvery;
    private final Map<Long, String> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(EngineSettings settings) {
        this.capacityBlocks = settings.cacheBlocks();
        this.blockTokens = settings.blockTokens();
        this.eventLagNanos = TimeUnit.MILLISECONDS.toNanos(settings.reportLagMillis());
        this.gapEvery = settings.eventGapEvery();
    }

    /** Returns the hashes of the full blocks of a prompt, from the first block on. */
    List<Long> hashes(String version, String prompt) {
        return Arrays.stream(PrefixBlocks.hashes(version, prompt, blockTokens))
                .boxed()
                .toList();
    }

    /** Stores the blocks of a prompt and returns the number of its leading tokens that were already cached. */
    int lookUpAndStore(String version, List<Long> hashes) {
        int hits = 0;
        while (hits < hashes.size() && blocks.get(hashes.get(hits)) != null) {
            hits++;
        }
        // Touches the leading blocks last, so that a block is evicted before the prefix that it extends.
        for (int index = hashes.size() - 1; index >= 0; index--) {
            store(version, hashes.get(index));
        }
        return hits * blockTokens;
    }

    private void store(String version, long hash) {
        if (blocks.put(hash, version) == null) {
            record(version, hash, true);
        }
        if (blocks.size() > capacityBlocks) {
            final Map.Entry<Long, String> oldest = blocks.entrySet().iterator().next();
            blocks.remove(oldest.getKey());
            record(oldest.getValue(), oldest.getKey(), false);
        }
    }

    /** Evicts all blocks of a version, whose cache is lost when it is unloaded. */
    void evictVersion(String version) {
        blocks.entrySet().removeIf(entry -> {
            final boolean evicted = entry.getValue().equals(version);
            if (evicted) {
                record(version, entry.getKey(), false);
            }
            return evicted;
        });
    }

    int size() {
        return blocks.size();
    }

    List<CacheEvent> eventsAfter(long after, int limit) {
        final long visibleUntil = System.nanoTime() - eventLagNanos;
        return events.stream()
                .filter(timed -> timed.event.sequence() > after && timed.recordedAtNanos - visibleUntil <= 0)
                .limit(limit)
                .map(TimedEvent::event)
                .toList();
    }

    private void record(String version, long hash, boolean stored) {
        sequence++;
        if (gapEvery > 0 && sequence % gapEvery == 0) {
            return;
        }
        events.add(new TimedEvent(new CacheEvent(sequence, version, hash, stored), System.nanoTime()));
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }

    private record TimedEvent(CacheEvent event, long recordedAtNanos) {}
}
