package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Guards against entries that overfill the sidecars together, or leave slots empty. */
class ConcurrencyBoundTest {
    // Reports that follow each other faster are ignored.
    private static final long STEP_NANOS = 1_000_000_000L;

    private static LoadReport load(int running, int queued, int slots) {
        return new LoadReport(1, false, true, running, queued, slots, List.of(), 0);
    }

    private static LoadReport shared(int inFlight, int slots) {
        return load(Math.min(inFlight, slots), Math.max(0, inFlight - slots), slots);
    }

    /** Each of three saturated entries sees the sum of all; the sum must settle at the slots and a short queue. */
    @Test
    void shouldConvergeWithOtherEntriesAndFollowLostSlots() {
        final List<ConcurrencyLimiter> entries = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            entries.add(ConcurrencyLimiter.of(1 + 50 * index));
            entries.get(index).setEntryCount(3);
        }
        settle(entries, 100, 0);
        assertThat(sum(entries)).isAtLeast(95);
        assertThat(sum(entries)).isAtMost(125);
        settle(entries, 30, 100);
        assertThat(sum(entries)).isAtLeast(28);
        assertThat(sum(entries)).isAtMost(40);
        settle(entries, 100, 200);
        assertThat(sum(entries)).isAtLeast(95);
    }

    private static void settle(List<ConcurrencyLimiter> entries, int slots, int from) {
        for (int round = from; round < from + 100; round++) {
            final int all = sum(entries);
            for (final ConcurrencyLimiter entry : entries) {
                entry.recordLoadReport("sidecar", shared(all, slots), entry.limit(), round * 100_000_000L);
            }
        }
    }

    private static int sum(List<ConcurrencyLimiter> entries) {
        return entries.stream().mapToInt(ConcurrencyLimiter::limit).sum();
    }

    @Test
    void shouldDropToOneWhenNoSidecarIsReadyAndRecover() {
        final ConcurrencyLimiter bound = ConcurrencyLimiter.of(64);
        bound.recordLoadReport("sidecar", new LoadReport(1, true, true, 0, 0, 64, List.of(), 0), 0, 0);
        assertThat(bound.limit()).isEqualTo(1);
        for (int round = 1; round < 30; round++) {
            bound.recordLoadReport("sidecar", load(bound.limit(), 0, 64), bound.limit(), round * STEP_NANOS);
        }
        assertThat(bound.limit()).isAtLeast(60);
    }

    /** Guards against slots that an engine reports but cannot use. */
    @Test
    void shouldShrinkWhenLatencyPerTokenRises() {
        final ConcurrencyLimiter bound = ConcurrencyLimiter.of(64);
        for (int round = 0; round < 50; round++) {
            bound.recordCompletion(1_000, 10);
            bound.recordLoadReport("sidecar", load(64, 0, 64), 64, round * STEP_NANOS);
        }
        assertThat(bound.limit()).isAtLeast(60);
        for (int round = 50; round < 100; round++) {
            bound.recordCompletion(4_000, 10);
            bound.recordLoadReport("sidecar", shared(bound.limit(), 64), bound.limit(), round * STEP_NANOS);
        }
        assertThat(bound.limit()).isAtMost(48);
    }

    @Test
    void shouldShrinkAfterARefusal() {
        final ConcurrencyLimiter bound = ConcurrencyLimiter.of(10);
        bound.recordRejection();
        assertThat(bound.limit()).isEqualTo(9);
        assertThat(bound.allows(Rank.URGENT, 0, 8, 8)).isTrue();
        assertThat(bound.allows(Rank.URGENT, 0, 9, 9)).isFalse();
    }

    /** Guards against background work in the queues of the sidecars, and against a floor lost to urgent work. */
    @Test
    void shouldKeepTheLastPlacesForUrgentWorkAndFloors() {
        final ConcurrencyLimiter bound = ConcurrencyLimiter.of(90);
        assertThat(bound.allows(Rank.BACKGROUND, 0.1, 79, 79)).isTrue();
        assertThat(bound.allows(Rank.BACKGROUND, 0.1, 80, 80)).isFalse();
        assertThat(bound.allows(Rank.BACKGROUND, 0.1, 89, 8)).isTrue();
        assertThat(bound.allows(Rank.BACKGROUND, 0.1, 90, 8)).isFalse();
        assertThat(bound.allows(Rank.URGENT, 0, 89, 0)).isTrue();
    }
}
