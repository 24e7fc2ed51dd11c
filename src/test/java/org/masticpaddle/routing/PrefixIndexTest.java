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

    /** Guards against a hit expected at another version or upstream, or beyond the stored part of the prompt. */
    @Test
    void shouldExpectTheStoredPartAtItsHolderOnly() {
        index.onEvents("a", stored(0, 1, 2), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isWithin(1e-9).of(0.5);
        assertThat(index.expectedHitRatio("a", LARGE, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.expectedHitRatio("b", SMALL, PROMPT, 0)).isEqualTo(0.0);
        assertThat(index.holders(SMALL, PROMPT)).containsExactly("a");
    }

    /** Guards against trust in blocks whose eviction may be among missing events. */
    @Test
    void shouldTrustLessAfterAGap() {
        index.onEvents("a", stored(0, 1, 2, 3, 4), 0);
        index.onEvents("a", stored(50, 9), 0);
        final double hit = index.expectedHitRatio("a", SMALL, PROMPT, 0);
        assertThat(hit).isGreaterThan(0.0);
        assertThat(hit).isLessThan(0.3);
        index.onEvents("a", stored(51, 1, 2, 3, 4), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isWithin(1e-9).of(1);
    }

    /** Guards against one lost event hiding all later blocks of a prompt. */
    @Test
    void shouldTakeAnUnknownBlockBeforeAKnownOneForCached() {
        index.onEvents("a", stored(0, 1, 2), 0);
        index.onEvents("a", stored(3, 4), 0);
        assertThat(index.expectedHitRatio("a", SMALL, PROMPT, 0)).isGreaterThan(0.9);
    }

    /** Guards against an evicted block, a repeated event or a restarted engine leaving a false hit. */
    @Test
    void shouldForgetWhatIsGone() {
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
    void shouldKeepTheBlocksUsedLast() {
        for (int prompt = 0; prompt < 1_000; prompt++) {
            index.onDispatch("a", SMALL, new long[] {prompt}, 0);
        }
        int known = 0;
        for (int prompt = 0; prompt < 1_000; prompt++) {
            known += index.expectedHitRatio("a", SMALL, new long[] {prompt}, 0) > 0 ? 1 : 0;
        }
        assertThat(known).isEqualTo(100);
    }

    private static List<CacheEvent> stored(long sequence, long... prefixes) {
        final List<CacheEvent> events = new ArrayList<>();
        for (final long prefix : prefixes) {
            events.add(new CacheEvent(sequence + events.size(), SMALL.toString(), prefix, true));
        }
        return events;
    }
}
