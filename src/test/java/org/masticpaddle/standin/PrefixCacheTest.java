package org.masticpaddle.standin;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.EngineControl.CacheEvent;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a prefix cache that never forgets, mixes versions up, or hides its gaps. */
class PrefixCacheTest {
    private static final String VERSION = "m/v";

    @Test
    void shouldForgetTheLeastRecentlyUsedBlock() {
        final PrefixCache cache = cache(3, 0);
        assertThat(use(cache, VERSION, "a b c d")).isEqualTo(0);
        assertThat(use(cache, VERSION, "x y")).isEqualTo(0);
        assertThat(use(cache, VERSION, "a b c d e")).isEqualTo(4);
        assertThat(use(cache, VERSION, "p q")).isEqualTo(0);
        assertThat(cache.size()).isEqualTo(3);
        assertThat(use(cache, VERSION, "a b")).isEqualTo(2);
        assertThat(use(cache, VERSION, "x y")).isEqualTo(0);
    }

    @Test
    void shouldNotShareBlocksBetweenVersions() {
        final PrefixCache cache = cache(10, 0);
        use(cache, VERSION, "a b");
        assertThat(use(cache, "m/other", "a b")).isEqualTo(0);
        cache.evictVersion(VERSION);
        assertThat(use(cache, VERSION, "a b")).isEqualTo(0);
    }

    @Test
    void shouldShowGapsInTheNumbersOfEvents() {
        final PrefixCache cache = cache(10, 2);
        use(cache, VERSION, "a b c d e f g h");
        final List<Long> numbers =
                cache.eventsAfter(0, 100).stream().map(CacheEvent::sequence).toList();
        assertThat(numbers).containsExactly(1L, 3L).inOrder();
    }

    private static int use(PrefixCache cache, String version, String prompt) {
        return cache.lookUpAndStore(version, cache.hashes(version, prompt));
    }

    private static PrefixCache cache(int blocks, int gapEvery) {
        return new PrefixCache(
                new EngineSettings(List.of(), List.of(), 1, 1, 0, 0, 0, blocks, 2, true, 0, gapEvery, 1));
    }
}
