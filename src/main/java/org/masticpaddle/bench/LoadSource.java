package org.masticpaddle.bench;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.Rank;

/**
 * Generates Poisson arrivals of one rank, spread evenly over some organisations. Immutable.
 *
 * @param name label under which the results are counted
 * @param rank rank of all its requests
 * @param organisations organisations that send the requests, each of weight 1
 * @param loadFactor offered load as a multiple of the pool's capacity
 * @param sizeFactor mean size of a request as a multiple of the deployment's mean
 * @param fromSeconds time before the first arrival, in virtual time
 * @param toSeconds end of the arrivals, exclusive
 */
record LoadSource(
        String name,
        Rank rank,
        List<String> organisations,
        double loadFactor,
        double sizeFactor,
        double fromSeconds,
        double toSeconds) {
    static final String POOL = "pool";
    static final String VERSION = "model/1";

    /** Stages of the Erlang distribution of request sizes; three give a coefficient of variation of 0.58. */
    private static final int ERLANG_STAGES = 3;

    /** 90th percentile of the service time as a multiple of its mean; the entry takes it as the expected run time. */
    private static final double RUN_TIME_P90_FACTOR = 1.77;

    void generate(
            AdmissionDeployment deployment,
            UniformRandomProvider random,
            long firstId,
            List<SimulatedRequest> requests) {
        final double arrivalsPerSecond = loadFactor * deployment.capacity() / sizeFactor;
        long nextId = firstId;
        double arrivalSeconds = fromSeconds + exponential(random) / arrivalsPerSecond;
        while (arrivalSeconds < toSeconds) {
            final String organisation = organisations.get(random.nextInt(organisations.size()));
            final long tokens = Math.max(1, Math.round(sizeFactor * deployment.meanTokens() * erlang(random)));
            final long arrivalNanos = (long) (arrivalSeconds * 1e9);
            final long expectedTokens = Math.round(sizeFactor * deployment.meanTokens());
            final long expectedRunNanos = (long) (RUN_TIME_P90_FACTOR * expectedTokens * deployment.nanosPerToken());
            final WaitingRequest request = new WaitingRequest(
                    nextId++,
                    organisation,
                    1,
                    rank,
                    POOL,
                    VERSION,
                    expectedTokens,
                    arrivalNanos,
                    arrivalNanos + timeoutNanos(),
                    expectedRunNanos,
                    false);
            requests.add(new SimulatedRequest(name, request, tokens, (long) (tokens * deployment.nanosPerToken())));
            arrivalSeconds += exponential(random) / arrivalsPerSecond;
        }
    }

    private long timeoutNanos() {
        return (long) Math.max(1, sizeFactor / 2)
                * switch (rank) {
                    case URGENT -> 10_000_000_000L;
                    case STANDARD -> 15_000_000_000L;
                    case BACKGROUND -> 30_000_000_000L;
                };
    }

    private static double erlang(UniformRandomProvider random) {
        double sum = 0;
        for (int stage = 0; stage < ERLANG_STAGES; stage++) {
            sum += exponential(random);
        }
        return sum / ERLANG_STAGES;
    }

    private static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }
}
