package org.masticpaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an estimate that grows with the segments that callers name. */
class PrefixCacheEstimateTest {
    private static final String MODEL = "model";
    private static final int CAPACITY = 1_000_000;

    private final PrefixCacheEstimate estimate = new PrefixCacheEstimate();

    @Test
    void shouldForgetTheSegmentsUsedLeastRecentlyIfThereAreTooMany() {
        for (int number = 0; number < 100_000; number++) {
            add("segment-" + number, 1, CAPACITY);
        }
        assertThat(cached("segment-0")).isEqualTo(0);
        assertThat(cached("segment-99999")).isEqualTo(1);
    }

    @Test
    void shouldKeepWithinTheCapacityIfALengthChanges() {
        add("segment", 10, 200);
        add("segment", 10_000, 200);
        assertThat(cached("segment")).isAtMost(100);
    }

    @Test
    void shouldUseTheSpaceOfASegmentThatBecameShorter() {
        add("first", 100, 200);
        add("first", 10, 200);
        add("second", 90, 200);
        assertThat(cached("first")).isEqualTo(10);
        assertThat(cached("second")).isEqualTo(90);
    }

    private void add(String id, int tokens, long capacityTokens) {
        estimate.add(MODEL, List.of(new PromptSegment(id, tokens)), capacityTokens);
    }

    private int cached(String id) {
        return estimate.cachedTokens(MODEL, List.of(new PromptSegment(id, 0)));
    }
}
