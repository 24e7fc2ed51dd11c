package org.masticpaddle.bench;

import java.util.List;
import java.util.Optional;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.routing.UpstreamPolicy;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.UpstreamSet;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.LoadReport;

/** Time of a choice of an upstream on one core, with prefixes and many candidates. */
final class DecisionTimeExperiment {
    private static final int DECISIONS = 200_000;
    private static final int PROMPT_BLOCKS = 16;

    private final UpstreamSet upstreams = new UpstreamSet();
    private final PrefixIndex prefixes = new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS);
    private final UniformRandomProvider random;
    private final long[][] prompts = new long[2_000][PROMPT_BLOCKS];

    /** Creates candidates of which a part takes no work; {@code usable} is the part that does. */
    DecisionTimeExperiment(RoutingDeployment deployment, int candidates, double usable, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < candidates; index++) {
            final UpstreamView view = new UpstreamView(
                    "u" + index,
                    deployment.region(),
                    deployment.failureDomains().get(index % 3));
            final boolean draining = random.nextDouble() >= usable;
            view.onReport(
                    new LoadReport(
                            1,
                            draining,
                            true,
                            random.nextInt(8),
                            random.nextInt(4),
                            8,
                            List.of(UpstreamExperiment.VERSION.toString()),
                            1_200),
                    0);
            upstreams.put(view);
        }
        for (int prompt = 0; prompt < prompts.length; prompt++) {
            for (int block = 0; block < PROMPT_BLOCKS; block++) {
                prompts[prompt][block] = random.nextLong();
            }
            for (int holder = 0; holder < 4; holder++) {
                prefixes.onDispatch("u" + random.nextInt(candidates), UpstreamExperiment.VERSION, prompts[prompt], 0);
            }
        }
    }

    /** Returns the 99th percentile in microseconds after a warm-up of the same length. */
    double p99Micros() {
        final UpstreamSelector choice = new UpstreamSelector(UpstreamPolicy.of("r"));
        final Histogram histogram = new Histogram(3);
        for (int index = 0; index < 2 * DECISIONS; index++) {
            final long now = index / 50;
            final UpstreamRequest request = new UpstreamRequest(
                    UpstreamExperiment.VERSION, prompts[random.nextInt(prompts.length)], 300, Optional.empty());
            final long start = System.nanoTime();
            final Optional<UpstreamView> chosen = choice.choose(upstreams, request, prefixes, now, random);
            final long nanos = System.nanoTime() - start;
            chosen.ifPresent(view -> {
                view.onDispatch(now);
                view.onEnd(true, 1_000, now);
            });
            if (index >= DECISIONS) {
                histogram.recordValue(nanos);
            }
        }
        return histogram.getValueAtPercentile(99) / 1_000.0;
    }

    /** Returns the same for a scan of all candidates for the least outstanding requests. */
    double leastOutstandingP99Micros() {
        final Histogram histogram = new Histogram(3);
        for (int index = 0; index < 2 * DECISIONS; index++) {
            final long now = index / 50;
            final long start = System.nanoTime();
            UpstreamView best = upstreams.get(0);
            for (int candidate = 0; candidate < upstreams.size(); candidate++) {
                final UpstreamView view = upstreams.get(candidate);
                best = view.accepts(UpstreamExperiment.VERSION, now) && view.outstanding() < best.outstanding()
                        ? view
                        : best;
            }
            final long nanos = System.nanoTime() - start;
            best.onDispatch(now);
            if (index >= DECISIONS) {
                histogram.recordValue(nanos);
            }
        }
        return histogram.getValueAtPercentile(99) / 1_000.0;
    }
}
