package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.EngineControl.CacheEvent;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.LARGE;
import static org.masticpaddle.routing.Fixtures.SMALL;

class PrefixIndexTest {
    private static final long[] PROMPT = {1, 2, 3, 4};
    private final PrefixIndex index = new PrefixIndex(100);

    /** Guards against hits expected for another version or upstream, or beyond the stored part of the prompt. */
    @Test
    void shouldExpectHitsOnlyAtTheHolder() {
        index.onEvents("a", stored(0, 1, 2), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isWithin(1e-9).of(0.5);
        assertThat(index.expectedHitRatio("a", LARGE, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.expectedHitRatio("b", SMALL, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.holders(SMALL, PROMPT)).containsExactly("a");
    }

    /** Guards against full confidence in blocks whose evictions may be among missing events. */
    @Test
    void shouldLowerTheConfidenceAfterAGap() {
        index.onEvents("a", stored(0, 1, 2, 3, 4), 0);
        index.onEvents("a", stored(50, 9), 0);
        final double hitRatio = index.expectedHitRatio("a", SMALL, PROMPT, 0);
        assertThat(hitRatio).isGreaterThan(0.0);
        assertThat(hitRatio).isLessThan(0.3);
        index.onEvents("a", stored(51, 1, 2, 3, 4), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isWithin(1e-9).of(1);
    }

    /** Guards against one lost event that hides all later blocks of a prompt. */
    @Test
    void shouldAssumeThatAnUnknownBlockBeforeACachedOneIsCached() {
        index.onEvents("a", stored(0, 1, 2), 0);
        index.onEvents("a", stored(3, 4), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isGreaterThan(0.9);
    }

    /** Guards against false hits after an eviction, a repeated event or a restart of the engine. */
    @Test
    void shouldExpectNoHitForEvictedBlocksAndRemovedUpstreams() {
        index.onEvents("a", stored(0, 1, 2, 3, 4), 0);
        index.onEvents("a", List.of(new CacheEvent(4, SMALL.toString(), 1, false)), 0);
        index.onEvents("a", stored(0, 1), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.lastSequence("a")).isEqualTo(4);
        index.onEvents("b", stored(0, 1, 2, 3, 4), 0);
        index.forget("b");
        index.onEvents("b", stored(0, 9), 0);
        assertThat(index.expectedHitRatio("b", SMALL, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.holders(SMALL, PROMPT)).containsExactly("a");
    }

    /** Guards against memory that grows with the number of prompts. */
    @Test
    void shouldEvictTheLeastRecentlyUsedBlocks() {
        for (int prompt = 0; prompt < 1_000; prompt++) {
            index.onDispatch("a", SMALL, new long[] {prompt}, 0);
        }
        int retained = 0;
        for (int prompt = 0; prompt < 1_000; prompt++) {
            retained += index.expectedHitRatio("a", SMALL, new long[] {prompt}, 0) > 0 ? 1 : 0;
        }
        assertThat(retained).isEqualTo(100);
    }

    private static List<CacheEvent> stored(long sequence, long... prefixes) {
        final List<CacheEvent> events = new ArrayList<>();
        for (final long prefix : prefixes) {
            events.add(new CacheEvent(sequence + events.size(), SMALL.toString(), prefix, true));
        }
        return events;
    }
}
