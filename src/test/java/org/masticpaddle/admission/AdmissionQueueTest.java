package org.masticpaddle.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Rank;
import org.masticpaddle.wire.RunState;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.masticpaddle.admission.Requests.ALWAYS;
import static org.masticpaddle.admission.Requests.SECOND;

/** Guards against a wrong order of service inside a pool, and against untrue refusals. */
class AdmissionQueueTest {
    private final AdmissionQueue queue = Requests.queue(100, 0, 0);

    /** Guards against urgent work waiting behind work of a lower rank. */
    @Test
    void shouldServeHigherRanksFirst() {
        queue.offer(Requests.of(1, "a", Rank.BACKGROUND, 10), 0);
        queue.offer(Requests.of(2, "a", Rank.STANDARD, 10), 0);
        queue.offer(Requests.of(3, "a", Rank.URGENT, 10), 0);
        assertThat(List.of(
                        Requests.serve(queue, 1).id(),
                        Requests.serve(queue, 1).id(),
                        Requests.serve(queue, 1).id()))
                .containsExactly(3L, 2L, 1L)
                .inOrder();
    }

    /** Guards against shares by number of requests, which favour organisations with long answers. */
    @Test
    void shouldShareByTokensAndWeight() {
        for (long id = 0; id < 40; id++) {
            queue.offer(Requests.weighted(id * 2, "long", 1, 100), 0);
            queue.offer(Requests.weighted(id * 2 + 1, "heavy", 3, 50), 0);
        }
        final Map<String, Long> tokens = new HashMap<>();
        for (int count = 0; count < 35; count++) {
            final WaitingRequest served = Requests.serve(queue, 1);
            tokens.merge(served.organisation(), served.expectedTokens(), Long::sum);
        }
        assertThat(tokens.get("heavy") / (double) tokens.get("long"))
                .isWithin(0.3)
                .of(3);
    }

    /** Guards against an organisation that gains by requests which turn out longer than expected. */
    @Test
    void shouldChargeRealTokens() {
        for (long id = 0; id < 100; id++) {
            queue.offer(Requests.of(id, id % 2 == 0 ? "longer" : "exact", Rank.STANDARD, 10), 0);
        }
        final Map<String, Integer> counts = new HashMap<>();
        for (int count = 0; count < 50; count++) {
            final WaitingRequest served = queue.dispatchNext(1, ALWAYS).orElseThrow();
            counts.merge(served.organisation(), 1, Integer::sum);
            queue.complete("pool", served.id(), served.organisation().equals("longer") ? 40 : 10, 1);
        }
        assertThat(counts.get("longer")).isAtMost(11);
        assertThat(counts.get("longer")).isAtLeast(9);
    }

    /** Guards against a refund that turns an idle period into a burst. */
    @Test
    void shouldNotRefundBeyondAnIdlePeriod() {
        queue.offer(Requests.of(1, "idle", Rank.STANDARD, 1_000), 0);
        queue.dispatchNext(1, ALWAYS);
        for (long id = 10; id < 50; id++) {
            queue.offer(Requests.of(id, "busy", Rank.STANDARD, 100), 0);
        }
        for (int count = 0; count < 20; count++) {
            Requests.serve(queue, 1);
        }
        for (long id = 100; id < 120; id++) {
            queue.offer(Requests.of(id, "idle", Rank.STANDARD, 100), 2);
        }
        queue.complete("pool", 1, 0, 2);
        int idle = 0;
        for (int count = 0; count < 10; count++) {
            idle += Requests.serve(queue, 3).organisation().equals("idle") ? 1 : 0;
        }
        assertThat(idle).isAtMost(6);
    }

    /** Guards against reordering inside an organisation. */
    @Test
    void shouldServeByArrivalThenDeadline() {
        queue.offer(Requests.at(1, 5, 90 * SECOND, "pool", "m/1"), 5);
        queue.offer(Requests.at(2, 5, 80 * SECOND, "pool", "m/2"), 5);
        queue.offer(Requests.at(3, 4, 99 * SECOND, "pool", "m/1"), 5);
        assertThat(Requests.serve(queue, 6).id()).isEqualTo(3);
        assertThat(Requests.serve(queue, 6).id()).isEqualTo(2);
    }

    /** Guards against work that is dispatched after it lost its use, and against silent removal. */
    @Test
    void shouldReportExpiredRequestsAsNotRun() {
        queue.offer(Requests.at(1, 0, 10, "pool", "m/1"), 0);
        queue.offer(Requests.at(2, 0, 30, "pool", "m/1"), 0);
        final List<Rejection> expired = queue.expire(11);
        assertThat(expired).hasSize(1);
        assertThat(expired.get(0).reason()).isEqualTo(RejectionReason.DEADLINE_PASSED);
        assertThat(expired.get(0).runState()).isEqualTo(RunState.NOT_RUN);
        assertThat(Requests.serve(queue, 12).id()).isEqualTo(2);
        assertThat(queue.dispatchNext(12, ALWAYS)).isEmpty();
    }

    /** Guards against dispatch of an expired request by a duty that has not called expire since. */
    @Test
    void shouldNotServeAnExpiredRequest() {
        queue.offer(Requests.at(1, 0, 10, "pool", "m/1"), 0);
        assertThat(queue.dispatchNext(11, ALWAYS)).isEmpty();
        assertThat(queue.expire(11)).hasSize(1);
    }

    /** Guards against upstream work for a caller that is gone. */
    @Test
    void shouldNotServeACancelledRequest() {
        queue.offer(Requests.of(1, "a", Rank.URGENT, 10), 0);
        assertThat(queue.cancel("pool", 1, 1)).isPresent();
        assertThat(queue.cancel("pool", 1, 1)).isEmpty();
        assertThat(queue.dispatchNext(1, ALWAYS)).isEmpty();
    }

    /** Guards against head-of-line blocking by a version or a pool without capacity. */
    @Test
    void shouldPassRequestsWithoutCapacity() {
        queue.offer(Requests.at(1, 1, 90 * SECOND, "full", "m/1"), 1);
        queue.offer(Requests.at(2, 2, 90 * SECOND, "pool", "m/full"), 2);
        queue.offer(Requests.at(3, 3, 90 * SECOND, "pool", "m/1"), 3);
        final DispatchCapacity some = (pool, version, rank) -> pool.equals("pool") && version.equals("m/1");
        assertThat(queue.dispatchNext(4, some).map(WaitingRequest::id)).hasValue(3L);
        assertThat(queue.dispatchNext(4, some)).isEmpty();
        assertThat(queue.waiting("pool")).isEqualTo(1);
    }

    /** Guards against a queue full of background work that turns urgent work away. */
    @Test
    void shouldDisplaceBackgroundOfTheOrganisationFurthestAboveItsShare() {
        final AdmissionQueue small = Requests.queue(4, 0, 0.25);
        small.offer(Requests.of(1, "modest", Rank.BACKGROUND, 10), 0);
        for (long id = 2; id <= 4; id++) {
            small.offer(Requests.of(id, "greedy", Rank.BACKGROUND, 10), 0);
        }
        final EnqueueResult offer = small.offer(Requests.of(5, "a", Rank.URGENT, 10), 0);
        final Rejection displaced = ((EnqueueResult.Queued) offer).displaced().orElseThrow();
        assertThat(displaced.request().id()).isEqualTo(4);
        assertThat(displaced.reason()).isEqualTo(RejectionReason.DISPLACED);
        assertThat(displaced.runState()).isEqualTo(RunState.NOT_RUN);
        small.offer(Requests.of(6, "a", Rank.URGENT, 10), 0);
        small.offer(Requests.of(7, "a", Rank.URGENT, 10), 0);
        // The last background request holds the floor of the places, so the fourth urgent one is refused.
        final EnqueueResult full = small.offer(Requests.of(8, "a", Rank.URGENT, 10), 0);
        assertThat(((EnqueueResult.Rejected) full).rejection().reason()).isEqualTo(RejectionReason.QUEUE_FULL);
        assertThat(small.waiting("pool", Rank.BACKGROUND)).isEqualTo(1);
    }

    /** Guards against a large organisation that fills the queue and shuts out small ones of the same rank. */
    @Test
    void shouldDisplaceALargeOrganisationOfTheSameRank() {
        final AdmissionQueue small = Requests.queue(4, 0, 0);
        for (long id = 1; id <= 4; id++) {
            small.offer(Requests.of(id, "large", Rank.STANDARD, 10), 0);
        }
        final EnqueueResult offer = small.offer(Requests.of(5, "small", Rank.STANDARD, 10), 0);
        assertThat(((EnqueueResult.Queued) offer).displaced().orElseThrow().request().id())
                .isEqualTo(4);
        final EnqueueResult again = small.offer(Requests.of(6, "large", Rank.STANDARD, 10), 0);
        assertThat(again).isInstanceOf(EnqueueResult.Rejected.class);
    }

    /** Guards against callers that wait for an answer which cannot come in time, and against an estimate for all alike. */
    @Test
    void shouldRefuseWhenTheWaitExceedsTheTimeLeft() {
        for (long id = 0; id < 60; id++) {
            queue.offer(Requests.of(id, "large", Rank.STANDARD, 100), 0);
        }
        for (int count = 1; count <= 10; count++) {
            Requests.serve(queue, count * SECOND / 10);
        }
        // 50 requests of 100 tokens at 1000 tokens a second are 5 s of work.
        final long now = SECOND;
        final Rejection refusal = ((EnqueueResult.Rejected) queue.offer(
                        new WaitingRequest(
                                99, "large", 1, Rank.STANDARD, "pool", "m/1", 100, now, now + 3 * SECOND, 0, false),
                        now))
                .rejection();
        assertThat(refusal.reason()).isEqualTo(RejectionReason.WAIT_EXCEEDS_DEADLINE);
        assertThat(refusal.retryAfterSeconds()).isAtLeast(2);
        assertThat(refusal.retryAfterSeconds()).isAtMost(6);
        final WaitingRequest other =
                new WaitingRequest(100, "small", 1, Rank.STANDARD, "pool", "m/1", 100, now, now + 3 * SECOND, 0, false);
        assertThat(queue.offer(other, now)).isInstanceOf(EnqueueResult.Queued.class);
    }

    /** Guards against "not run" for a stream that was cancelled midway, and against refusing it for its wait. */
    @Test
    void shouldTellThatACancelledStreamHasBegun() {
        queue.offer(Requests.of(1, "a", Rank.BACKGROUND, 100), 0);
        final WaitingRequest served = queue.dispatchNext(1, ALWAYS).orElseThrow();
        queue.complete("pool", 1, 40, 1);
        assertThat(queue.offer(served.resumed(60, 0), 1)).isInstanceOf(EnqueueResult.Queued.class);
        final Rejection expired = queue.expire(2_000 * SECOND).get(0);
        assertThat(expired.runState()).isEqualTo(RunState.RAN);
    }

    /** Guards against a refund or a charge that is applied twice. */
    @Test
    void shouldSettleOnce() {
        queue.offer(Requests.of(1, "a", Rank.URGENT, 10), 0);
        queue.dispatchNext(1, ALWAYS);
        assertThat(queue.complete("pool", 1, 10, 2)).isTrue();
        assertThat(queue.complete("pool", 1, 10, 2)).isFalse();
        assertThat(queue.complete("other", 1, 10, 2)).isFalse();
    }

    /** Guards against a document whose floors promise more than the pool. */
    @Test
    void shouldRejectFloorsAboveTheWhole() {
        assertThrows(IllegalArgumentException.class, () -> Requests.queue(1, 0.6, 0.5));
        assertThrows(IllegalArgumentException.class, () -> Requests.queue(0, 0, 0));
    }
}
