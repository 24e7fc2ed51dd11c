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
import static org.masticpaddle.admission.Requests.SECOND_NANOS;

/** Guards against a wrong order of service within a pool, and against unjustified or misreported rejections. */
class AdmissionQueueTest {
    private final AdmissionQueue queue = Requests.queue(100, 0, 0);

    /** Guards against urgent requests that wait behind requests of a lower rank. */
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

    /** Guards against sharing by the number of requests, which favours organisations with long answers. */
    @Test
    void shouldShareTokensByWeight() {
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

    /** Guards against an organisation that gains service because its requests use more tokens than expected. */
    @Test
    void shouldChargeActualTokens() {
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

    /** Guards against a refund of tokens charged before an idle period, which would allow a burst after it. */
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
        int idleServed = 0;
        for (int count = 0; count < 10; count++) {
            idleServed += Requests.serve(queue, 3).organisation().equals("idle") ? 1 : 0;
        }
        assertThat(idleServed).isAtMost(6);
    }

    /** Guards against reordering within an organisation. */
    @Test
    void shouldServeByArrivalThenDeadline() {
        queue.offer(Requests.at(1, 5, 90 * SECOND_NANOS, "pool", "m/1"), 5);
        queue.offer(Requests.at(2, 5, 80 * SECOND_NANOS, "pool", "m/2"), 5);
        queue.offer(Requests.at(3, 4, 99 * SECOND_NANOS, "pool", "m/1"), 5);
        assertThat(Requests.serve(queue, 6).id()).isEqualTo(3);
        assertThat(Requests.serve(queue, 6).id()).isEqualTo(2);
    }

    /** Guards against dispatching expired requests, and against removing them without a rejection. */
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

    /** Guards against dispatching a request that expired after the last {@code expire()}. */
    @Test
    void shouldNotDispatchAnExpiredRequest() {
        queue.offer(Requests.at(1, 0, 10, "pool", "m/1"), 0);
        assertThat(queue.dispatchNext(11, ALWAYS)).isEmpty();
        assertThat(queue.expire(11)).hasSize(1);
    }

    /** Guards against dispatching the request of a disconnected caller. */
    @Test
    void shouldNotDispatchACancelledRequest() {
        queue.offer(Requests.of(1, "a", Rank.URGENT, 10), 0);
        assertThat(queue.cancel("pool", 1, 1)).isPresent();
        assertThat(queue.cancel("pool", 1, 1)).isEmpty();
        assertThat(queue.dispatchNext(1, ALWAYS)).isEmpty();
    }

    /** Guards against head-of-line blocking by a version or a pool without capacity. */
    @Test
    void shouldSkipRequestsWithoutCapacity() {
        queue.offer(Requests.at(1, 1, 90 * SECOND_NANOS, "full", "m/1"), 1);
        queue.offer(Requests.at(2, 2, 90 * SECOND_NANOS, "pool", "m/full"), 2);
        queue.offer(Requests.at(3, 3, 90 * SECOND_NANOS, "pool", "m/1"), 3);
        final DispatchCapacity capacity = (pool, version, rank) -> pool.equals("pool") && version.equals("m/1");
        assertThat(queue.dispatchNext(4, capacity).map(WaitingRequest::id)).hasValue(3L);
        assertThat(queue.dispatchNext(4, capacity)).isEmpty();
        assertThat(queue.waiting("pool")).isEqualTo(1);
    }

    /** Guards against a queue that rejects urgent requests because it is full of background ones. */
    @Test
    void shouldDisplaceBackgroundOfTheOrganisationFurthestAboveItsShare() {
        final AdmissionQueue smallQueue = Requests.queue(4, 0, 0.25);
        smallQueue.offer(Requests.of(1, "modest", Rank.BACKGROUND, 10), 0);
        for (long id = 2; id <= 4; id++) {
            smallQueue.offer(Requests.of(id, "greedy", Rank.BACKGROUND, 10), 0);
        }
        final EnqueueResult result = smallQueue.offer(Requests.of(5, "a", Rank.URGENT, 10), 0);
        final Rejection displaced = ((EnqueueResult.Queued) result).displaced().orElseThrow();
        assertThat(displaced.request().id()).isEqualTo(4);
        assertThat(displaced.reason()).isEqualTo(RejectionReason.DISPLACED);
        assertThat(displaced.runState()).isEqualTo(RunState.NOT_RUN);
        smallQueue.offer(Requests.of(6, "a", Rank.URGENT, 10), 0);
        smallQueue.offer(Requests.of(7, "a", Rank.URGENT, 10), 0);
        // The last background request is protected by the floor, so the fourth urgent request is rejected.
        final EnqueueResult resultWhenFull = smallQueue.offer(Requests.of(8, "a", Rank.URGENT, 10), 0);
        assertThat(((EnqueueResult.Rejected) resultWhenFull).rejection().reason())
                .isEqualTo(RejectionReason.QUEUE_FULL);
        assertThat(smallQueue.waiting("pool", Rank.BACKGROUND)).isEqualTo(1);
    }

    /** Guards against a large organisation that fills the queue, so that small ones of the same rank are rejected. */
    @Test
    void shouldDisplaceALargeOrganisationOfTheSameRank() {
        final AdmissionQueue smallQueue = Requests.queue(4, 0, 0);
        for (long id = 1; id <= 4; id++) {
            smallQueue.offer(Requests.of(id, "large", Rank.STANDARD, 10), 0);
        }
        final EnqueueResult result = smallQueue.offer(Requests.of(5, "small", Rank.STANDARD, 10), 0);
        assertThat(((EnqueueResult.Queued) result)
                        .displaced()
                        .orElseThrow()
                        .request()
                        .id())
                .isEqualTo(4);
        final EnqueueResult resultForLarge = smallQueue.offer(Requests.of(6, "large", Rank.STANDARD, 10), 0);
        assertThat(resultForLarge).isInstanceOf(EnqueueResult.Rejected.class);
    }

    /**
     * Guards against queueing requests that cannot be answered in time, and against one wait estimate for all
     * organisations.
     */
    @Test
    void shouldRejectWhenTheExpectedWaitExceedsTheTimeLeft() {
        for (long id = 0; id < 60; id++) {
            queue.offer(Requests.of(id, "large", Rank.STANDARD, 100), 0);
        }
        for (int count = 1; count <= 10; count++) {
            Requests.serve(queue, count * SECOND_NANOS / 10);
        }
        // 50 requests of 100 tokens at 1000 tokens per second take 5 s.
        final long now = SECOND_NANOS;
        final Rejection rejection = ((EnqueueResult.Rejected) queue.offer(
                        new WaitingRequest(
                                99,
                                "large",
                                1,
                                Rank.STANDARD,
                                "pool",
                                "m/1",
                                100,
                                now,
                                now + 3 * SECOND_NANOS,
                                0,
                                false),
                        now))
                .rejection();
        assertThat(rejection.reason()).isEqualTo(RejectionReason.WAIT_EXCEEDS_DEADLINE);
        assertThat(rejection.retryAfterSeconds()).isAtLeast(2);
        assertThat(rejection.retryAfterSeconds()).isAtMost(6);
        final WaitingRequest other = new WaitingRequest(
                100, "small", 1, Rank.STANDARD, "pool", "m/1", 100, now, now + 3 * SECOND_NANOS, 0, false);
        assertThat(queue.offer(other, now)).isInstanceOf(EnqueueResult.Queued.class);
    }

    /**
     * Guards against reporting a preempted stream as not run, and against rejecting it because of its expected wait.
     */
    @Test
    void shouldReportAPreemptedStreamAsRun() {
        queue.offer(Requests.of(1, "a", Rank.BACKGROUND, 100), 0);
        final WaitingRequest served = queue.dispatchNext(1, ALWAYS).orElseThrow();
        queue.complete("pool", 1, 40, 1);
        assertThat(queue.offer(served.resumed(60, 0), 1)).isInstanceOf(EnqueueResult.Queued.class);
        final Rejection expired = queue.expire(2_000 * SECOND_NANOS).get(0);
        assertThat(expired.runState()).isEqualTo(RunState.RAN);
    }

    /** Guards against a refund or a charge that is applied twice. */
    @Test
    void shouldCompleteARequestOnce() {
        queue.offer(Requests.of(1, "a", Rank.URGENT, 10), 0);
        queue.dispatchNext(1, ALWAYS);
        assertThat(queue.complete("pool", 1, 10, 2)).isTrue();
        assertThat(queue.complete("pool", 1, 10, 2)).isFalse();
        assertThat(queue.complete("other", 1, 10, 2)).isFalse();
    }

    /** Guards against floors that add up to more than the pool, and against a queue that can hold no request. */
    @Test
    void shouldRejectFloorsAboveOneAndAQueueWithoutSlots() {
        assertThrows(IllegalArgumentException.class, () -> Requests.queue(1, 0.6, 0.5));
        assertThrows(IllegalArgumentException.class, () -> Requests.queue(0, 0, 0));
    }
}
