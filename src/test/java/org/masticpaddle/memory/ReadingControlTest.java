package org.masticpaddle.memory;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against answers that are read without limit for a caller that does not take them, and against sound callers given up. */
class ReadingControlTest {
    private static final long PAUSE_BYTES = ReadingControl.PAUSE_BYTES;
    private static final int READ_BYTES = 8 * 1024;

    private final ReadingControl control = new ReadingControl();
    private long now;

    @Test
    void shouldPauseAboveTheLimitAndGoOnWhenHalfIsTaken() {
        control.added(PAUSE_BYTES, now);
        assertThat(control.reading(now)).isTrue();
        control.added(1, now);
        assertThat(control.reading(now)).isFalse();
        assertThat(control.taken(PAUSE_BYTES / 2, now)).isFalse();
        assertThat(control.taken(1, now)).isTrue();
    }

    @Test
    void shouldReadOnInStepsUntilTheLargestBacklog() {
        int steps = 0;
        while (control.waitingBytes() < ReadingControl.MAX_READ_ON_BYTES) {
            while (control.reading(now)) {
                control.added(READ_BYTES, now);
            }
            now += ReadingControl.MAX_PAUSE_NANOS;
            steps++;
        }
        assertThat(steps).isAtMost(8);
        assertThat(control.reading(now)).isFalse();
        control.taken(control.waitingBytes() - ReadingControl.MAX_READ_ON_BYTES + 1, now);
        assertThat(control.reading(now)).isTrue();
    }

    @Test
    void shouldGiveUpOnlyWhoTakesNothing() {
        control.added(1_000, now);
        for (int count = 0; count < 100; count++) {
            now += ReadingControl.MAX_STALL_NANOS - 1;
            assertThat(control.stalled(now)).isFalse();
            control.taken(1, now);
        }
        now += ReadingControl.MAX_STALL_NANOS;
        assertThat(control.stalled(now)).isTrue();
    }

    @Test
    void shouldNotGiveUpACallerThatHasTakenEverything() {
        control.added(1_000, now);
        control.taken(1_000, now);
        now += 2 * ReadingControl.MAX_STALL_NANOS;
        assertThat(control.stalled(now)).isFalse();
        control.added(1, now);
        assertThat(control.stalled(now)).isFalse();
    }

    /** Whatever a caller takes and when, what waits stays bounded and a source is left unread for a bounded time only. */
    @Property(tries = 300, seed = "20261207")
    void shouldBoundTheBacklogAndThePause(@ForAll long seed) {
        final Random random = new Random(seed);
        final ReadingControl tested = new ReadingControl();
        final int largestEvent = READ_BYTES + random.nextInt(100_000);
        long time = 0;
        long unreadSince = 0;
        for (int step = 0; step < 500; step++) {
            if (tested.reading(time)) {
                tested.added(1 + random.nextInt(largestEvent), time);
                unreadSince = time;
            }
            final long pauseNanos = random.nextInt(100_000_000);
            time += pauseNanos;
            if (random.nextInt(4) == 0) {
                tested.taken((long) (tested.waitingBytes() * random.nextDouble()), time);
            }
            assertWithMessage("seed %s, step %s", seed, step)
                    .that(tested.waitingBytes())
                    .isAtMost(ReadingControl.MAX_READ_ON_BYTES + PAUSE_BYTES + largestEvent);
            if (tested.waitingBytes() < ReadingControl.MAX_READ_ON_BYTES && !tested.reading(time)) {
                assertWithMessage("seed %s, step %s", seed, step)
                        .that(time - unreadSince)
                        .isLessThan(ReadingControl.MAX_PAUSE_NANOS);
            }
        }
        assertThat(tested.taken(tested.waitingBytes(), time)).isTrue();
    }
}
