package org.masticpaddle.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.kernel.SuspendAwareClock;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against steps of the time of day that make a confirmation look younger or a read come later. */
class KeyedFollowerClockTest {
    private static final int TRIALS = 100;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RESPONSE_MILLIS = 10;

    private final FakeScheduler time = new FakeScheduler();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
    private final FakeSharedLog log = new FakeSharedLog(time);
    private final Map<String, Long> deliveredMillis = new HashMap<>();
    private long stepsMillis;
    private long caughtUpNanos;
    private final SuspendAwareClock clock =
            new SuspendAwareClock(time::nanos, () -> time.nanos() / NANOS_PER_MILLI + stepsMillis);

    @ParameterizedTest
    @ValueSource(longs = {10, 150, 500, 60_000})
    void shouldNotMakeAConfirmationYoungerThanItIs(long maxStepMillis) {
        follow(ReadTiming.longPoll(Duration.ofMillis(1_900)));
        for (int trial = 0; trial < TRIALS; trial++) {
            advance(random.nextLong(6_000), maxStepMillis);
            log.setUnavailable(true);
            final long lostNanos = time.nanos();
            advance(random.nextLong(6_000), maxStepMillis);
            // A read that was held when the log was lost is still answered.
            assertThat(clock.nanos() - caughtUpNanos).isAtLeast(time.nanos() - lostNanos - 1_900 * NANOS_PER_MILLI);
            log.setUnavailable(false);
            advance(3_000, maxStepMillis);
            assertThat(clock.nanos() - caughtUpNanos).isAtLeast(0L);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 150, 500, 60_000})
    void shouldDeliverChangesOfHeldReadsInTime(long maxStepMillis) {
        follow(ReadTiming.longPoll(Duration.ofMillis(1_900)));
        assertDelivered("held", maxStepMillis, RESPONSE_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 150, 500, 60_000})
    void shouldDeliverChangesOfPeriodicReadsInTime(long maxStepMillis) {
        final long pauseMillis = 700;
        follow(ReadTiming.periodic(Duration.ofMillis(pauseMillis)));
        assertDelivered("periodic", maxStepMillis, pauseMillis);
    }

    private void assertDelivered(String key, long maxStepMillis, long boundMillis) {
        for (int trial = 0; trial < TRIALS; trial++) {
            advance(random.nextLong(3_000), maxStepMillis);
            log.put(key + trial, "1");
            final long putMillis = time.nanos() / NANOS_PER_MILLI;
            advance(boundMillis, maxStepMillis);
            assertWithMessage(key + trial).that(deliveredMillis).containsKey(key + trial);
            assertThat(deliveredMillis.get(key + trial) - putMillis).isAtMost(boundMillis);
        }
    }

    private void follow(ReadTiming timing) {
        new KeyedFollower(
                        log,
                        LogStream.OPERATOR,
                        timing,
                        new Scheduler() {
                            @Override
                            public long nanos() {
                                return clock.nanos();
                            }

                            @Override
                            public Timer schedule(long millis, Runnable task) {
                                return time.schedule(millis, task);
                            }
                        },
                        random,
                        new KeyedFollower.Listener() {
                            @Override
                            public void onRecord(KeyedRecord keyedRecord) {
                                deliveredMillis.put(keyedRecord.key(), time.nanos() / NANOS_PER_MILLI);
                            }

                            @Override
                            public void onCaughtUp(long nanos) {
                                caughtUpNanos = nanos;
                            }
                        },
                        error -> {})
                .start();
    }

    /** Advances the time; the time of day makes a step about ten times a second. */
    private void advance(long millis, long maxStepMillis) {
        for (long remaining = millis; remaining > 0; remaining -= 100) {
            time.advance(Math.min(remaining, 100));
            stepsMillis += random.nextLong(2 * maxStepMillis + 1) - maxStepMillis;
            clock.nanos();
        }
    }
}
