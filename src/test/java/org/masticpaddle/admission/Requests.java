package org.masticpaddle.admission;

import java.util.Map;

import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.wire.Rank;

/** Factory methods for requests and queues in tests. */
final class Requests {
    static final long SECOND_NANOS = 1_000_000_000L;
    static final DispatchCapacity ALWAYS = (pool, version, rank) -> true;

    private Requests() {}

    static WaitingRequest of(long id, String organisation, Rank rank, long tokens) {
        return new WaitingRequest(id, organisation, 1, rank, "pool", "m/1", tokens, id, 1_000 * SECOND_NANOS, 0, false);
    }

    static WaitingRequest weighted(long id, String organisation, double weight, long tokens) {
        return new WaitingRequest(
                id, organisation, weight, Rank.STANDARD, "pool", "m/1", tokens, id, 1_000 * SECOND_NANOS, 0, false);
    }

    static WaitingRequest at(long id, long arrivalNanos, long deadlineNanos, String pool, String version) {
        return new WaitingRequest(id, "a", 1, Rank.STANDARD, pool, version, 10, arrivalNanos, deadlineNanos, 0, false);
    }

    static AdmissionQueue queue(int maxWaiting, double standardFloor, double backgroundFloor) {
        return AdmissionQueue.of(
                maxWaiting,
                Map.of(
                        Rank.STANDARD, new RankPolicy(Rank.STANDARD, 1, 1, standardFloor),
                        Rank.BACKGROUND, new RankPolicy(Rank.BACKGROUND, 1, 1, backgroundFloor)));
    }

    /** Dispatches one request and completes it at once with its expected tokens. */
    static WaitingRequest serve(AdmissionQueue queue, long now) {
        final WaitingRequest request = queue.dispatchNext(now, ALWAYS).orElseThrow();
        queue.complete(request.pool(), request.id(), request.expectedTokens(), now);
        return request;
    }
}
