package org.masticpaddle.standin;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.EngineControl.CacheEvent;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a prefix cache that exceeds its capacity, shares blocks between versions or renumbers events after a loss. */
class PrefixCacheTest {
    private static final String VERSION = "m/v";

    @Test
    void shouldEvictTheLeastRecentlyUsedBlock() {
        final PrefixCache cache = cache(3, 0);
        assertThat(lookUpAndStore(cache, VERSION, "a b c d")).isEqualTo(0);
        assertThat(lookUpAndStore(cache, VERSION, "x y")).isEqualTo(0);
        assertThat(lookUpAndStore(cache, VERSION, "a b c d e")).isEqualTo(4);
        assertThat(lookUpAndStore(cache, VERSION, "p q")).isEqualTo(0);
        assertThat(cache.size()).isEqualTo(3);
        assertThat(lookUpAndStore(cache, VERSION, "a b")).isEqualTo(2);
        assertThat(lookUpAndStore(cache, VERSION, "x y")).isEqualTo(0);
    }

    @Test
    void shouldNotShareBlocksBetweenVersions() {
        final PrefixCache cache = cache(10, 0);
        lookUpAndStore(cache, VERSION, "a b");
        assertThat(lookUpAndStore(cache, "m/other", "a b")).isEqualTo(0);
        cache.evictVersion(VERSION);
        assertThat(lookUpAndStore(cache, VERSION, "a b")).isEqualTo(0);
    }

    @Test
    void shouldSkipTheSequenceNumbersOfLostEvents() {
        final PrefixCache cache = cache(10, 2);
        lookUpAndStore(cache, VERSION, "a b c d e f g h");
        final List<Long> sequences =
                cache.eventsAfter(0, 100).stream().map(CacheEvent::sequence).toList();
        assertThat(sequences).containsExactly(1L, 3L).inOrder();
    }

    private static int lookUpAndStore(PrefixCache cache, String version, String prompt) {
        return cache.lookUpAndStore(version, cache.hashes(version, prompt));
    }

    private static PrefixCache cache(int blocks, int gapEvery) {
        return new PrefixCache(
                new EngineSettings(List.of(), List.of(), 1, 1, 0, 0, 0, blocks, 2, true, 0, gapEvery, 1));
    }
}
