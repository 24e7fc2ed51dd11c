package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.kernel.ShutdownClock;

import static com.google.common.truth.Truth.assertThat;

/** Guards against waits whose sum exceeds the grace period, and against requests that are rejected or ended too early. */
class GatewayShutdownTest {
    private final VirtualClock clock = new VirtualClock();
    private final List<String> steps = new ArrayList<>();
    private final List<CompletableFuture<Void>> observations = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 5, 8, 30, 300})
    void shouldWaitNoLongerThanTheGracePeriodForALoopThatDoesNotAnswer(long graceSeconds) {
        run(Duration.ofSeconds(graceSeconds), CompletableFuture::new);
        assertThat(steps)
                .containsExactly("drain", "rejectNew", "endUnanswered", "endAll", "close")
                .inOrder();
        assertThat(clock.nowNanos).isAtMost(Duration.ofSeconds(graceSeconds).toNanos());
    }

    @Test
    void shouldEndRequestsThatAreInFlightBeforeItWaitsForTheirAnswers() {
        run(Duration.ofSeconds(10), CompletableFuture::new);
        assertThat(clock.nanosAt("rejectNew"))
                .isEqualTo(Duration.ofMillis(2_800).toNanos());
        assertThat(clock.nanosAt("endUnanswered")).isGreaterThan(clock.nanosAt("rejectNew"));
        assertThat(clock.nanosAt("endAll")).isGreaterThan(clock.nanosAt("endUnanswered"));
        assertThat(clock.nanosAt("close")).isGreaterThan(clock.nanosAt("endAll"));
        // The gateway goes on to observe its requests until the future is complete.
        assertThat(observations.stream().allMatch(CompletableFuture::isDone)).isTrue();
    }

    @Test
    void shouldCloseAsSoonAsNoRequestIsInFlight() {
        run(Duration.ofSeconds(10), () -> CompletableFuture.completedFuture(null));
        assertThat(clock.nanosAt("close")).isEqualTo(clock.nanosAt("rejectNew"));
    }

    @Test
    void shouldAcceptRequestsForTheSameTimeAlthoughNoneIsInFlight() {
        run(Duration.ofSeconds(3), () -> CompletableFuture.completedFuture(null));
        assertThat(clock.nanosAt("rejectNew"))
                .isEqualTo(Duration.ofMillis(1_110).toNanos());
    }

    @Test
    void shouldNotWaitForTheLogIfTheStopIsLate() {
        clock.lateNanos = Duration.ofSeconds(1).toNanos();
        run(Duration.ofSeconds(3), CompletableFuture::new);
        assertThat(clock.closeLimit).isEqualTo(Duration.ZERO);
    }

    private void run(Duration grace, Supplier<CompletableFuture<Void>> idle) {
        new GatewayShutdown(grace, clock, new GatewayShutdown.Steps() {
                    @Override
                    public void drain() {
                        clock.record("drain");
                    }

                    @Override
                    public void rejectNew() {
                        clock.record("rejectNew");
                    }

                    @Override
                    public void endUnanswered() {
                        clock.record("endUnanswered");
                    }

                    @Override
                    public void endAll() {
                        clock.record("endAll");
                    }

                    @Override
                    public CompletableFuture<Void> idle() {
                        observations.add(idle.get());
                        return observations.get(observations.size() - 1);
                    }

                    @Override
                    public void close(Duration elapsed, Duration limit) {
                        clock.record("close");
                        clock.closeLimit = limit;
                        // An output that blocks takes the whole limit.
                        clock.nowNanos += limit.toNanos();
                    }
                })
                .run();
    }

    /** Clock on which a wait whose condition does not hold takes all its time, and more by a lateness. */
    private final class VirtualClock implements ShutdownClock {
        private final List<Long> times = new ArrayList<>();
        private long nowNanos;
        private long lateNanos;
        private Duration closeLimit;

        void record(String step) {
            steps.add(step);
            times.add(nowNanos);
        }

        long nanosAt(String step) {
            return times.get(steps.indexOf(step));
        }

        @Override
        public long nanos() {
            return nowNanos;
        }

        @Override
        public void sleepUntil(long deadlineNanos) {
            nowNanos = Math.max(nowNanos, deadlineNanos);
        }

        @Override
        public void await(CompletableFuture<Void> condition, long deadlineNanos) {
            if (!condition.isDone()) {
                sleepUntil(deadlineNanos);
                nowNanos += lateNanos;
            }
        }
    }
}
