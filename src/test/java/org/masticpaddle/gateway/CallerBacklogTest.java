package org.masticpaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.memory.ReadingControl;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against answers that wait for callers without limit, and against bytes that are kept or given back twice at their end. */
class CallerBacklogTest {
    private static final long CAPACITY = 2_000_000;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final MemoryBudget memory = new MemoryBudget(CAPACITY);

    @Test
    void shouldPauseReadingUntilTheCallerHasTakenEnough() {
        final Caller caller = new Caller("caller");
        caller.send(2 * ReadingControl.PAUSE_BYTES, 0);
        assertThat(caller.reading).isFalse();
        caller.take(2 * ReadingControl.PAUSE_BYTES);
        assertThat(caller.reading).isTrue();
        assertThat(memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void shouldReadOnBeforeTheUpstreamGivesUp() {
        final Caller caller = new Caller("caller");
        caller.send(2 * ReadingControl.PAUSE_BYTES, 0);
        scheduler.advance(1_000);
        assertThat(caller.reading).isTrue();
    }

    @Test
    void shouldGiveUpACallerThatTakesNothing() {
        final Caller caller = new Caller("caller");
        caller.send(1_000, 500);
        scheduler.advance(ReadingControl.MAX_STALL_NANOS / 1_000_000 * 2);
        assertThat(caller.ends).containsExactly("the caller reads nothing");
        assertThat(memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void shouldGiveUpTheCallerThatHasTakenNothingForLongestWhenTheMemoryIsUsedUp() {
        final Caller still = new Caller("still");
        final Caller slow = new Caller("slow");
        final Caller sound = new Caller("sound");
        still.send(CAPACITY / 3, 0);
        slow.send(CAPACITY / 2, CAPACITY / 10);
        sound.send(CAPACITY / 2, CAPACITY / 2);
        assertThat(still.ends).containsExactly("the memory for answers is used up");
        assertThat(slow.ends).isEmpty();
        assertThat(sound.ends).isEmpty();
    }

    @Test
    void shouldSendNothingAfterTheEnd() {
        final Caller caller = new Caller("caller");
        caller.send(1_000, 0);
        caller.backlog.close();
        caller.send(1_000, 0);
        caller.take(1_000);
        assertThat(memory.heldBytes()).isEqualTo(0);
        assertThat(caller.sentBytes).isEqualTo(1_000);
    }

    /** Random callers that take, pause, leave and end hold exactly what waits for them, in any order of events. */
    @Property(tries = 200, seed = "20261208")
    void shouldHoldWhatWaitsAndGiveBackEachByteOnce(@ForAll long seed) {
        final Random random = new Random(seed);
        final List<Caller> callers = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            scheduler.advance(random.nextInt(1_000));
            if (callers.isEmpty() || random.nextInt(8) == 0) {
                callers.add(new Caller("caller-" + step));
            }
            final Caller caller = callers.get(random.nextInt(callers.size()));
            final long bytes = 1 + random.nextInt(400_000);
            switch (random.nextInt(6)) {
                case 0 -> caller.take((long) (caller.waitingBytes * random.nextDouble()));
                case 1 -> caller.leave();
                default -> caller.send(bytes, (long) (bytes * random.nextDouble()));
            }
            assertWithMessage("seed %s, step %s", seed, step)
                    .that(memory.heldBytes())
                    .isEqualTo(callers.stream()
                            .mapToLong(each -> each.waitingBytes)
                            .sum());
            assertThat(memory.heldBytes()).isAtMost(CAPACITY);
            assertThat(caller.ends.size()).isAtMost(1);
        }
        callers.forEach(Caller::leave);
        assertThat(memory.heldBytes()).isEqualTo(0);
    }

    /** A caller whose connection takes bytes when the test says so. */
    private final class Caller implements CallerBacklog.Listener {
        private final String name;
        private final CallerBacklog backlog = new CallerBacklog(memory, scheduler, this);
        private final List<String> ends = new ArrayList<>();
        private boolean reading = true;
        private long waitingBytes;
        private long sentBytes;

        Caller(String name) {
            this.name = name;
        }

        void send(long bytes, long takenAtOnce) {
            backlog.send(bytes, () -> {
                waitingBytes += bytes;
                sentBytes += bytes;
                take(takenAtOnce);
            });
        }

        void take(long bytes) {
            waitingBytes -= Math.min(bytes, waitingBytes);
            backlog.taken(bytes);
        }

        void leave() {
            waitingBytes = 0;
            backlog.close();
        }

        @Override
        public void onReading(boolean on) {
            reading = on;
        }

        @Override
        public void onGivenUp(String reason) {
            waitingBytes = 0;
            ends.add(reason);
        }

        @Override
        public String toString() {
            return name;
        }
    }
}
