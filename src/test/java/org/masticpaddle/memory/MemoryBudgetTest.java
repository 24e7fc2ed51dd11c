package org.masticpaddle.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against holders that keep more than the budget together, and against bytes that are never given back. */
class MemoryBudgetTest {
    private static final int CAPACITY = 1_000;

    private final MemoryBudget budget = new MemoryBudget(CAPACITY);
    private final List<String> evicted = new ArrayList<>();

    @Test
    void shouldEvictTheLargestReservationAndKeepTheOthers() {
        final MemoryBudget.Reservation small = open("small");
        final MemoryBudget.Reservation large = open("large");
        final MemoryBudget.Reservation next = open("next");
        assertThat(small.resize(100)).isTrue();
        assertThat(large.resize(800)).isTrue();
        assertThat(next.resize(200)).isTrue();
        assertThat(evicted).containsExactly("large");
        assertThat(large.resize(1)).isFalse();
        assertThat(budget.heldBytes()).isEqualTo(300);
    }

    @Test
    void shouldEvictTheReservationThatGrowsIfItIsTheLargest() {
        final MemoryBudget.Reservation sound = open("sound");
        final MemoryBudget.Reservation endless = open("endless");
        assertThat(sound.resize(100)).isTrue();
        long bytes = 0;
        while (endless.resize(bytes)) {
            bytes += 10;
        }
        assertThat(bytes).isEqualTo(CAPACITY - 100 + 10);
        assertThat(evicted).containsExactly("endless");
        assertThat(sound.resize(CAPACITY)).isTrue();
    }

    @Test
    void shouldEvictTheLargeReservationThatHasGivenBackBytesLeastRecently() {
        final MemoryBudget.Reservation small = open("small");
        final MemoryBudget.Reservation stalled = open("stalled");
        final MemoryBudget.Reservation draining = open("draining");
        assertThat(small.resize(100)).isTrue();
        assertThat(stalled.resize(300)).isTrue();
        assertThat(draining.resize(500)).isTrue();
        assertThat(draining.resize(450)).isTrue();
        assertThat(open("next").resize(200)).isTrue();
        assertThat(evicted).containsExactly("stalled");
    }

    @Test
    void shouldEvictAStalledReservationBeforeLargerOnes() {
        final MemoryBudget.Reservation stalled = open("stalled");
        final MemoryBudget.Reservation goesOn = open("goes on");
        final MemoryBudget.Reservation large = open("large");
        stalled.resize(100);
        goesOn.resize(100);
        large.resize(750);
        stalled.markStalled(true);
        goesOn.markStalled(true);
        goesOn.markStalled(false);
        assertThat(open("next").resize(150)).isTrue();
        assertThat(evicted).containsExactly("stalled");
    }

    @Test
    void shouldTellWhatIsHeldByKind() {
        final MemoryBudget.Reservation queued = budget.open(MemoryBudget.Kind.QUEUED, () -> {});
        queued.resize(30);
        open("collected").resize(10);
        assertThat(budget.heldBytes(MemoryBudget.Kind.QUEUED)).isEqualTo(30);
        assertThat(budget.heldBytes(MemoryBudget.Kind.COLLECTED)).isEqualTo(10);
        queued.close();
        assertThat(budget.heldBytes()).isEqualTo(10);
    }

    @Test
    void shouldEvictNoMoreReservationsThanNeeded() {
        final List<MemoryBudget.Reservation> holders = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            holders.add(open("holder-" + index));
            holders.get(index).resize(250);
        }
        assertThat(open("next").resize(200)).isTrue();
        assertThat(evicted).hasSize(1);
        assertThat(budget.heldBytes()).isEqualTo(950);
    }

    @Test
    void shouldGiveBytesBackOnce() {
        final MemoryBudget.Reservation reservation = open("reservation");
        reservation.resize(400);
        reservation.close();
        reservation.close();
        assertThat(reservation.resize(1)).isFalse();
        assertThat(budget.heldBytes()).isEqualTo(0);
        assertThat(evicted).isEmpty();
    }

    @Test
    void shouldLetAnEvictedHolderStartAnew() {
        final AtomicInteger restarts = new AtomicInteger();
        final MemoryBudget.Reservation[] current = new MemoryBudget.Reservation[1];
        final Runnable[] restart = new Runnable[1];
        restart[0] = () -> {
            restarts.incrementAndGet();
            current[0] = budget.open(MemoryBudget.Kind.COLLECTED, restart[0]);
            current[0].resize(1);
        };
        current[0] = budget.open(MemoryBudget.Kind.COLLECTED, restart[0]);
        current[0].resize(CAPACITY + 1);
        assertThat(restarts.get()).isEqualTo(1);
        assertThat(budget.heldBytes()).isEqualTo(1);
    }

    @Test
    void shouldRejectANegativeCapacity() {
        assertThrows(IllegalArgumentException.class, () -> new MemoryBudget(-1));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 20_261_205})
    void shouldNeverHoldMoreThanItsCapacity(long seed) {
        final Random random = new Random(seed);
        final List<MemoryBudget.Reservation> open = new ArrayList<>();
        final List<Long> sizes = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            if (open.isEmpty() || random.nextInt(4) == 0) {
                open.add(open("r" + step));
                sizes.add(0L);
            }
            final int index = random.nextInt(open.size());
            if (random.nextInt(5) == 0) {
                open.remove(index).close();
                sizes.remove(index);
            } else {
                sizes.set(index, (long) random.nextInt(CAPACITY / 2));
                open.get(index).resize(sizes.get(index));
            }
            assertWithMessage("seed " + seed + ", step " + step)
                    .that(budget.heldBytes())
                    .isAtMost(CAPACITY);
        }
        open.forEach(MemoryBudget.Reservation::close);
        assertWithMessage("seed " + seed).that(budget.heldBytes()).isEqualTo(0);
    }

    private MemoryBudget.Reservation open(String name) {
        return budget.open(MemoryBudget.Kind.COLLECTED, () -> evicted.add(name));
    }
}
