package org.masticpaddle.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against placement by figures that no longer hold, and against placement that ignores those that still do. */
class WorkPaceReplayTest {
    private static final long DURATION_MILLIS = 400_000;

    /** Figures arrive at random times, some milliseconds apart on average, or each a fixed time after it was measured. */
    @ParameterizedTest
    @CsvSource({"0, 0, 1", "300, 0, 2", "2500, 0, 3", "0, 100, 4", "0, 200, 5", "0, 400, 6", "0, 600, 7", "0, 2500, 8"})
    void shouldPlaceAboutAsWellAsTheBestOfNewestFigureAndLevel(double meanAgeMillis, long delayMillis, long seed) {
        final WorkPaceReplay newestReplay = new WorkPaceReplay(meanAgeMillis, delayMillis, seed);
        final double newest = newestReplay.meanTime(DURATION_MILLIS, (engines, now) -> newestReplay::newest);
        final double level = new WorkPaceReplay(meanAgeMillis, delayMillis, seed)
                .meanTime(DURATION_MILLIS, (engines, now) -> new ExpectedWork(engines, now)::level);
        final double both = new WorkPaceReplay(meanAgeMillis, delayMillis, seed)
                .meanTime(DURATION_MILLIS, (engines, now) -> new ExpectedWork(engines, now)::factor);
        final double any = new WorkPaceReplay(meanAgeMillis, delayMillis, seed)
                .meanTime(DURATION_MILLIS, (engines, now) -> engine -> 0);
        assertThat(both).isAtMost(1.02 * Math.min(newest, level));
        assertThat(both).isAtMost(0.8 * any);
    }

    /** States how old a figure may be before it does more harm than good. */
    @ParameterizedTest
    @CsvSource({"300, true, 1", "600, false, 2"})
    void shouldGainByTheNewestFigureUntilHalfOfTheTimeBetweenChanges(long delayMillis, boolean gains, long seed) {
        final WorkPaceReplay replay = new WorkPaceReplay(0, delayMillis, seed);
        final double newest = replay.meanTime(DURATION_MILLIS, (engines, now) -> replay::newest);
        final double level = new WorkPaceReplay(0, delayMillis, seed)
                .meanTime(DURATION_MILLIS, (engines, now) -> new ExpectedWork(engines, now)::level);
        assertThat(newest < level).isEqualTo(gains);
    }
}
