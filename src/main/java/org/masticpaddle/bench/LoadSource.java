package org.masticpaddle.bench;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.admission.WaitingRequest;
import org.masticpaddle.wire.Rank;

/**
 * Poisson arrivals of one rank from some organisations with equal rates.
 *
 * @param name name of the source
 * @param rank rank of its requests
 * @param organisations organisations, each of weight 1
 * @param loadFactor offered load as a multiple of the capacity of the pool
 * @param sizeFactor mean size of a request, as a multiple of the mean of the deployment
 * @param fromSeconds start
 * @param toSeconds end
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

    /** Sizes are the mean of three exponential variates: a coefficient of variation of 0.58. */
    private static final int ERLANG_STAGES = 3;

    /** The 90th percentile of the service time in means, which the entry takes as the expected run time. */
    private static final double RUN_TIME_P90_FACTOR = 1.77;

    void generate(
            AdmissionDeployment deployment, UniformRandomProvider random, long firstId, List<SimulatedRequest> sink) {
        final double perSecond = loadFactor * deployment.capacity() / sizeFactor;
        long id = firstId;
        double at = fromSeconds + exponential(random) / perSecond;
        while (at < toSeconds) {
            final String organisation = organisations.get(random.nextInt(organisations.size()));
            final long tokens = Math.max(1, Math.round(sizeFactor * deployment.meanTokens() * erlang(random)));
            final long arrived = (long) (at * 1e9);
            final long expected = Math.round(sizeFactor * deployment.meanTokens());
            final long run = (long) (RUN_TIME_P90_FACTOR * expected * deployment.nanosPerToken());
            final WaitingRequest request = new WaitingRequest(
                    id++, organisation, 1, rank, POOL, VERSION, expected, arrived, arrived + timeoutNanos(), run, false);
            sink.add(new SimulatedRequest(name, request, tokens, (long) (tokens * deployment.nanosPerToken())));
            at += exponential(random) / perSecond;
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
