package org.masticpaddle.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Guards against entries that together overload the sidecars or leave slots unused. */
class ConcurrencyLimiterTest {
    // The limiter ignores reports that follow each other too closely.
    private static final long STEP_NANOS = 1_000_000_000L;

    private static LoadReport load(int running, int queued, int slots) {
        return new LoadReport(1, false, true, running, queued, slots, List.of(), 0);
    }

    private static LoadReport loadFor(int inFlight, int slots) {
        return load(Math.min(inFlight, slots), Math.max(0, inFlight - slots), slots);
    }

    /** Each of three saturated entries sees the total load, which must converge to the slots plus a short queue. */
    @Test
    void shouldConvergeWithOtherEntriesAndFollowTheNumberOfSlots() {
        final List<ConcurrencyLimiter> entries = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            entries.add(ConcurrencyLimiter.of(1 + 50 * index));
            entries.get(index).setEntryCount(3);
        }
        converge(entries, 100, 0);
        assertThat(totalLimit(entries)).isAtLeast(95);
        assertThat(totalLimit(entries)).isAtMost(125);
        converge(entries, 30, 100);
        assertThat(totalLimit(entries)).isAtLeast(28);
        assertThat(totalLimit(entries)).isAtMost(40);
        converge(entries, 100, 200);
        assertThat(totalLimit(entries)).isAtLeast(95);
    }

    private static void converge(List<ConcurrencyLimiter> entries, int slots, int from) {
        for (int round = from; round < from + 100; round++) {
            final int total = totalLimit(entries);
            for (final ConcurrencyLimiter entry : entries) {
                entry.recordLoadReport("sidecar", loadFor(total, slots), entry.limit(), round * 100_000_000L);
            }
        }
    }

    private static int totalLimit(List<ConcurrencyLimiter> entries) {
        return entries.stream().mapToInt(ConcurrencyLimiter::limit).sum();
    }

    @Test
    void shouldDropToOneWhenNoSidecarIsReadyAndRecover() {
        final ConcurrencyLimiter limiter = ConcurrencyLimiter.of(64);
        limiter.recordLoadReport("sidecar", new LoadReport(1, true, true, 0, 0, 64, List.of(), 0), 0, 0);
        assertThat(limiter.limit()).isEqualTo(1);
        for (int round = 1; round < 30; round++) {
            limiter.recordLoadReport("sidecar", load(limiter.limit(), 0, 64), limiter.limit(), round * STEP_NANOS);
        }
        assertThat(limiter.limit()).isAtLeast(60);
    }

    /** Guards against relying on slots that an engine reports but cannot use. */
    @Test
    void shouldDecreaseWhenTheTimePerTokenRises() {
        final ConcurrencyLimiter limiter = ConcurrencyLimiter.of(64);
        for (int round = 0; round < 50; round++) {
            limiter.recordCompletion(1_000, 10);
            limiter.recordLoadReport("sidecar", load(64, 0, 64), 64, round * STEP_NANOS);
        }
        assertThat(limiter.limit()).isAtLeast(60);
        for (int round = 50; round < 100; round++) {
            limiter.recordCompletion(4_000, 10);
            limiter.recordLoadReport("sidecar", loadFor(limiter.limit(), 64), limiter.limit(), round * STEP_NANOS);
        }
        assertThat(limiter.limit()).isAtMost(48);
    }

    @Test
    void shouldDecreaseAfterARejection() {
        final ConcurrencyLimiter limiter = ConcurrencyLimiter.of(10);
        limiter.recordRejection();
        assertThat(limiter.limit()).isEqualTo(9);
        assertThat(limiter.allows(Rank.URGENT, 0, 8, 8)).isTrue();
        assertThat(limiter.allows(Rank.URGENT, 0, 9, 9)).isFalse();
    }

    /**
     * Guards against background requests in the queues of the sidecars, and against urgent work that uses up the
     * floor of another rank.
     */
    @Test
    void shouldReserveTheLastSlotsForUrgentRequestsAndFloors() {
        final ConcurrencyLimiter limiter = ConcurrencyLimiter.of(90);
        assertThat(limiter.allows(Rank.BACKGROUND, 0.1, 79, 79)).isTrue();
        assertThat(limiter.allows(Rank.BACKGROUND, 0.1, 80, 80)).isFalse();
        assertThat(limiter.allows(Rank.BACKGROUND, 0.1, 89, 8)).isTrue();
        assertThat(limiter.allows(Rank.BACKGROUND, 0.1, 90, 8)).isFalse();
        assertThat(limiter.allows(Rank.URGENT, 0, 89, 0)).isTrue();
    }
}
