package org.masticpaddle.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against bodies that hold more than the capacity, against memory that is not given back, and against unfair waits. */
class RequestMemoryTest {
    private static final long UNIT = 1024 * 1024;
    private static final long CAPACITY = 16 * UNIT;
    /** What large requests may hold together. */
    private static final long LARGE_LIMIT = 15 * UNIT;

    private final RequestMemory memory = new RequestMemory(CAPACITY);
    private final List<String> events = new ArrayList<>();
    private long now;

    @Test
    void shouldGrantFreeBytesAtOnce() {
        assertThat(open("north").ask(5 * UNIT, now)).isEqualTo(RequestMemory.Outcome.GRANTED);
        assertThat(open("north").ask(10 * UNIT, now)).isEqualTo(RequestMemory.Outcome.GRANTED);
        assertThat(memory.heldBytes()).isEqualTo(LARGE_LIMIT);
        assertThat(memory.waiting()).isEqualTo(0);
    }

    @Test
    void shouldRefuseWhatNeverFits() {
        assertThat(open("north").ask(LARGE_LIMIT + 1, now)).isEqualTo(RequestMemory.Outcome.REFUSED);
        assertThat(memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void shouldGrantWaitingRequestsWhenBytesAreReleased() {
        final RequestMemory.Reservation first = held("north", 10 * UNIT);
        assertThat(named("second", "north").ask(8 * UNIT, now)).isEqualTo(RequestMemory.Outcome.WAITING);
        assertThat(events).isEmpty();
        first.close();
        assertThat(events).containsExactly("second granted");
        assertThat(memory.heldBytes()).isEqualTo(8 * UNIT);
    }

    @Test
    void shouldServeSmallRequestsWhileLargeOnesWait() {
        held("north", LARGE_LIMIT);
        assertThat(named("large", "north").ask(UNIT, now)).isEqualTo(RequestMemory.Outcome.WAITING);
        for (long bytes = 0; bytes < UNIT; bytes += RequestMemory.MAX_SMALL_BYTES) {
            assertThat(open("north").ask(RequestMemory.MAX_SMALL_BYTES, now)).isEqualTo(RequestMemory.Outcome.GRANTED);
        }
        assertThat(open("north").ask(1, now)).isEqualTo(RequestMemory.Outcome.WAITING);
    }

    @Test
    void shouldGiveBytesLentToSmallRequestsBackToALargeOne() {
        final List<RequestMemory.Reservation> small = new ArrayList<>();
        for (long bytes = 0; bytes < CAPACITY; bytes += RequestMemory.MAX_SMALL_BYTES) {
            small.add(held("north", RequestMemory.MAX_SMALL_BYTES));
        }
        named("large", "south").ask(UNIT, now);
        named("small", "north").ask(1, now);
        small.subList(0, 16).forEach(RequestMemory.Reservation::close);
        assertThat(events).containsExactly("large granted");
        assertThat(memory.heldBytes()).isEqualTo(CAPACITY);
    }

    @Test
    void shouldPreferTheOrganisationThatHoldsLeast() {
        final RequestMemory.Reservation ending = held("north", 5 * UNIT);
        held("north", 8 * UNIT);
        held("south", 2 * UNIT);
        named("north's next", "north").ask(4 * UNIT, now);
        named("south's next", "south").ask(5 * UNIT, now);
        ending.close();
        assertThat(events).containsExactly("south's next granted");
    }

    @Test
    void shouldLetASmallerRequestOvertakeUntilTheLargerOneHasWaitedLonger() {
        final RequestMemory.Reservation ending = held("north", LARGE_LIMIT);
        named("large", "north").ask(14 * UNIT, now);
        now += 1_000_000_000L;
        named("soon after", "north").ask(2 * UNIT, now);
        now += 60_000_000_000L;
        named("long after", "north").ask(2 * UNIT, now);
        ending.close();
        assertThat(events).containsExactly("soon after granted");
    }

    @Test
    void shouldServeAGrowingRequestBeforeNewOnes() {
        final RequestMemory.Reservation growing = named("growing", "north");
        growing.ask(UNIT, now);
        final RequestMemory.Reservation other = held("south", 14 * UNIT);
        named("new", "west").ask(UNIT, now);
        growing.ask(2 * UNIT, now);
        other.close();
        assertThat(events).containsExactly("growing granted", "new granted").inOrder();
    }

    @Test
    void shouldRefuseTheLastOfTheGrowingRequestsThatOnlyWaitForEachOther() {
        final RequestMemory.Reservation first = named("first", "north");
        final RequestMemory.Reservation second = named("second", "south");
        first.ask(7 * UNIT, now);
        second.ask(8 * UNIT, now);
        assertThat(first.ask(14 * UNIT, now)).isEqualTo(RequestMemory.Outcome.WAITING);
        assertThat(second.ask(9 * UNIT, now)).isEqualTo(RequestMemory.Outcome.REFUSED);
        assertThat(events).containsExactly("first granted");
        assertThat(memory.heldBytes()).isEqualTo(14 * UNIT);
    }

    @Test
    void shouldRefuseRequestsBeyondThoseWhoseHeadsMayWait() {
        held("north", LARGE_LIMIT);
        int waiting = 0;
        while (open("north").ask(UNIT, now) == RequestMemory.Outcome.WAITING) {
            waiting++;
        }
        assertThat(waiting).isEqualTo(memory.waiting());
        assertThat(waiting * 32 * 1024L).isEqualTo(CAPACITY);
    }

    /** Random requests that grow, wait, are kept, shrink and end in any state give back exactly what they held. */
    @Property(tries = 300, seed = "20261206")
    void shouldNeverHoldMoreThanTheCapacityAndGiveBackEachByteOnce(@ForAll long seed) {
        final Random random = new Random(seed);
        final RequestMemory tested = new RequestMemory(CAPACITY);
        final List<Holder> holders = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(1_000_000);
            final int choice = random.nextInt(10);
            if (choice < 4 || holders.isEmpty()) {
                final Holder holder = new Holder(tested, "organisation-" + random.nextInt(4));
                holders.add(holder);
                holder.ask(size(random), now);
            } else {
                final Holder holder = holders.get(random.nextInt(holders.size()));
                switch (choice) {
                    case 4, 5 -> holder.ask(holder.bytes + size(random), now);
                    case 6 -> holder.keep((long) (holder.bytes * random.nextDouble()));
                    default -> holder.end();
                }
            }
            final long expected =
                    holders.stream().mapToLong(holder -> holder.bytes).sum();
            assertWithMessage("seed %s, step %s", seed, step)
                    .that(tested.heldBytes())
                    .isEqualTo(expected);
            assertThat(expected).isAtMost(CAPACITY);
            assertThat(tested.heldBytes(RequestMemory.Kind.READING) + tested.heldBytes(RequestMemory.Kind.KEPT))
                    .isEqualTo(expected);
            final List<Holder> waiting =
                    holders.stream().filter(holder -> holder.waits).toList();
            assertThat(tested.waiting()).isEqualTo(waiting.size());
            // Somebody who does not wait holds bytes, so that the others can go on.
            assertThat(waiting.isEmpty() || holders.stream().anyMatch(holder -> !holder.waits && holder.bytes > 0))
                    .isTrue();
        }
        holders.forEach(Holder::end);
        assertThat(tested.heldBytes()).isEqualTo(0);
        assertThat(tested.waiting()).isEqualTo(0);
    }

    private static long size(Random random) {
        return random.nextBoolean() ? 1 + random.nextInt(100_000) : 1 + random.nextInt((int) (6 * UNIT));
    }

    private RequestMemory.Reservation open(String organisation) {
        return named("unnamed", organisation);
    }

    private RequestMemory.Reservation held(String organisation, long bytes) {
        final RequestMemory.Reservation reservation = open(organisation);
        assertThat(reservation.ask(bytes, now)).isEqualTo(RequestMemory.Outcome.GRANTED);
        return reservation;
    }

    private RequestMemory.Reservation named(String name, String organisation) {
        return memory.open(organisation, new RequestMemory.Listener() {
            @Override
            public void onGranted() {
                events.add(name + " granted");
            }

            @Override
            public void onRefused() {
                events.add(name + " refused");
            }
        });
    }

    /** Model of a request: what it may hold by the outcomes that it was told. */
    private static final class Holder implements RequestMemory.Listener {
        private final RequestMemory.Reservation reservation;
        private long bytes;
        private long wanted;
        private boolean waits;
        private boolean kept;
        private boolean ended;

        Holder(RequestMemory memory, String organisation) {
            reservation = memory.open(organisation, this);
        }

        void ask(long newBytes, long nowNanos) {
            if (waits || kept || ended) {
                return;
            }
            wanted = newBytes;
            switch (reservation.ask(newBytes, nowNanos)) {
                case GRANTED -> onBytes(newBytes);
                case WAITING -> startWaiting();
                default -> drop();
            }
        }

        private void onBytes(long newBytes) {
            bytes = newBytes;
        }

        private void startWaiting() {
            waits = true;
        }

        void keep(long size) {
            if (!waits && !ended) {
                reservation.keep(size);
                bytes = size;
                kept = true;
            }
        }

        void end() {
            drop();
            reservation.close();
        }

        private void drop() {
            ended = true;
            waits = false;
            bytes = 0;
        }

        @Override
        public void onGranted() {
            assertThat(waits).isTrue();
            waits = false;
            bytes = wanted;
        }

        @Override
        public void onRefused() {
            assertThat(waits).isTrue();
            drop();
        }
    }
}
