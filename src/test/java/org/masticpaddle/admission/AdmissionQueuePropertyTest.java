package org.masticpaddle.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.admission.Requests.ALWAYS;

/**
 * Guards against states in which the queue idles, overflows, starves an organisation or dispatches a rejected request.
 */
class AdmissionQueuePropertyTest {
    private static final Rank[] RANKS = Rank.values();

    @Property(tries = 300, seed = "1")
    void shouldConserveWorkLimitItsLengthAndNeverDispatchARejectedRequest(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int maxWaiting) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final AdmissionQueue queue = Requests.queue(maxWaiting, 0.2, 0.1);
        final Map<Long, WaitingRequest> waiting = new HashMap<>();
        final Set<Long> endedIds = new HashSet<>();
        final Deque<WaitingRequest> running = new ArrayDeque<>();
        final boolean[] hasFreeSlot = new boolean[3];
        final DispatchCapacity capacity = (pool, version, rank) ->
                hasFreeSlot[Integer.parseInt(version)] && (rank == Rank.URGENT || hasFreeSlot[0]);
        long now = 0;
        for (long id = 0; id < 400; id++) {
            now += random.nextInt(50_000_000);
            for (int index = 0; index < hasFreeSlot.length; index++) {
                hasFreeSlot[index] = random.nextInt(3) > 0;
            }
            final WaitingRequest request = random(random, id, now);
            final EnqueueResult result = queue.offer(request, now);
            if (result instanceof EnqueueResult.Queued queued) {
                waiting.put(id, request);
                queued.displaced().ifPresent(rejection -> {
                    endedIds.add(rejection.request().id());
                    assertThat(waiting.remove(rejection.request().id())).isNotNull();
                });
            } else {
                endedIds.add(id);
            }
            queue.expire(now).forEach(rejection -> {
                endedIds.add(rejection.request().id());
                assertThat(waiting.remove(rejection.request().id())).isNotNull();
            });
            if (random.nextInt(10) == 0 && !waiting.isEmpty()) {
                final long cancelledId = waiting.keySet().iterator().next();
                assertThat(queue.cancel("pool", cancelledId, now).isPresent()).isTrue();
                waiting.remove(cancelledId);
                endedIds.add(cancelledId);
            }
            if (random.nextInt(4) == 0) {
                final Optional<WaitingRequest> next = queue.dispatchNext(now, capacity);
                final boolean dispatchable = waiting.values().stream()
                        .anyMatch(candidate ->
                                capacity.hasCapacity(candidate.pool(), candidate.version(), candidate.rank()));
                assertThat(next.isPresent()).isEqualTo(dispatchable);
                next.ifPresent(served -> {
                    assertThat(endedIds).doesNotContain(served.id());
                    assertThat(waiting.remove(served.id())).isEqualTo(served);
                    running.add(served);
                });
            }
            if (running.size() > 2) {
                final WaitingRequest completed = running.poll();
                queue.complete("pool", completed.id(), random.nextInt(400), now);
            }
            assertThat(queue.waiting("pool")).isEqualTo(waiting.size());
            assertThat(queue.waiting("pool")).isAtMost(maxWaiting);
        }
    }

    private static WaitingRequest random(UniformRandomProvider random, long id, long now) {
        final int organisation = random.nextInt(5);
        return new WaitingRequest(
                id,
                "organisation-" + organisation,
                1 + organisation,
                RANKS[random.nextInt(3)],
                "pool",
                String.valueOf(random.nextInt(3)),
                1 + random.nextInt(300),
                now,
                now + random.nextLong(3_000_000_000L),
                random.nextInt(500_000_000),
                random.nextInt(5) == 0);
    }

    /**
     * Guards against starvation: the service of organisations with waiting requests may differ by a limited amount
     * only.
     */
    @Property(tries = 100, seed = "2")
    void shouldLimitTheServiceDifferenceOfBackloggedOrganisations(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final AdmissionQueue queue = Requests.queue(10_000, 0, 0);
        final double[] served = new double[count];
        for (long id = 0; id < count * 60L; id++) {
            final int organisation = (int) (id % count);
            queue.offer(Requests.weighted(id, "o" + organisation, 1 + organisation % 3, 1 + random.nextInt(200)), 0);
        }
        for (int step = 0; step < count * 15; step++) {
            final WaitingRequest request = Requests.serve(queue, 1);
            served[Integer.parseInt(request.organisation().substring(1))] +=
                    request.expectedTokens() / request.weight();
            for (int first = 0; first < count; first++) {
                for (int second = 0; second < count; second++) {
                    // Start-time fair queueing limits the difference to the largest request of each organisation.
                    assertThat(served[first] - served[second]).isAtMost(400);
                }
            }
        }
    }

    @Property(tries = 100, seed = "3")
    void shouldServeFloorsWithinTenPercent(
            @ForAll long seed,
            @ForAll @IntRange(min = 5, max = 40) int standardPercent,
            @ForAll @IntRange(min = 5, max = 40) int backgroundPercent) {
        final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        final AdmissionQueue queue = Requests.queue(10_000, standardPercent / 100.0, backgroundPercent / 100.0);
        for (long id = 0; id < 9_000; id++) {
            queue.offer(Requests.of(id, "o" + id % 4, RANKS[(int) (id % 3)], 1 + random.nextInt(200)), 0);
        }
        final double[] served = new double[3];
        double total = 0;
        for (int step = 0; step < 3_000; step++) {
            final WaitingRequest request = queue.dispatchNext(1, ALWAYS).orElseThrow();
            final long actualTokens = 1 + random.nextInt(200);
            queue.complete("pool", request.id(), actualTokens, 1);
            served[request.rank().ordinal()] += actualTokens;
            total += actualTokens;
        }
        assertThat(served[1] / total).isWithin(0.1 * standardPercent / 100).of(standardPercent / 100.0);
        assertThat(served[2] / total).isWithin(0.1 * backgroundPercent / 100).of(backgroundPercent / 100.0);
    }

    /** Guards against credit for idle time at the cost of organisations with waiting requests. */
    @Property(tries = 50, seed = "4")
    void shouldGrantNoCreditForIdleTime(@ForAll @LongRange(min = 1, max = 300) long idleSteps) {
        final AdmissionQueue queue = Requests.queue(10_000, 0, 0);
        for (long id = 0; id < 800; id++) {
            queue.offer(Requests.of(id, "busy", Rank.STANDARD, 50), 0);
        }
        queue.offer(Requests.of(900, "idle", Rank.STANDARD, 50), 0);
        for (long step = 0; step <= idleSteps; step++) {
            Requests.serve(queue, 1);
        }
        for (long id = 1_000; id < 1_400; id++) {
            queue.offer(Requests.of(id, "idle", Rank.STANDARD, 50), 2);
        }
        int idleServed = 0;
        for (int step = 1; step <= 100; step++) {
            idleServed += Requests.serve(queue, 3).organisation().equals("idle") ? 1 : 0;
            assertThat(idleServed).isAtMost(step / 2 + 2);
        }
    }
}
