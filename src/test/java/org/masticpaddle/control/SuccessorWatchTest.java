package org.masticpaddle.control;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against frequent reads of the list of upstreams that a few or permanently failing upstreams cause. */
class SuccessorWatchTest {
    private static final long SECOND = 1_000_000_000L;

    private final SuccessorWatch watch = new SuccessorWatch();

    @Test
    void shouldBeInactiveWithoutALoss() {
        assertThat(active(0, 3)).isFalse();
    }

    @Test
    void shouldEndThoughRequestsKeepFailing() {
        assertThat(watch.recordLoss("s", "a@1", 0)).isTrue();
        for (long second = 1; second < 200; second++) {
            assertThat(watch.recordLoss("s", "a@1", second * SECOND)).isFalse();
            assertThat(active(second, 3)).isEqualTo(second < 8);
        }
    }

    @Test
    void shouldStartAgainForAnotherIncarnation() {
        watch.recordLoss("s", "a@1", 0);
        assertThat(watch.recordLoss("s", "a@2", 30 * SECOND)).isTrue();
        assertThat(active(31, 3)).isTrue();
        assertThat(watch.recordLoss("s", "b@1", 36 * SECOND)).isTrue();
        assertThat(active(43, 3)).isTrue();
    }

    @Test
    void shouldStartAgainAfterALongTimeWithoutFailures() {
        watch.recordLoss("s", "a@1", 0);
        assertThat(watch.recordLoss("s", "a@1", 100 * SECOND)).isTrue();
        assertThat(active(101, 3)).isTrue();
    }

    /** Load pattern: single upstreams of a large service come and go. */
    @Test
    void shouldNotStartForFewOfManyUpstreams() {
        watch.recordLoss("s", "a@1", 0);
        watch.recordLoss("s", "b@1", 0);
        assertThat(active(1, 20)).isFalse();
        watch.recordLoss("other", "c@1", 0);
        assertThat(watch.active(service -> service.equals("other") ? 10 : 20, SECOND))
                .isFalse();
        watch.recordLoss("s", "d@1", SECOND);
        assertThat(active(1, 20)).isTrue();
    }

    @Test
    void shouldStartIfNoUpstreamIsListedAnyMore() {
        watch.recordLoss("s", "a@1", 0);
        assertThat(active(1, 0)).isTrue();
    }

    private boolean active(long second, int listed) {
        return watch.active(service -> listed, second * SECOND);
    }
}
