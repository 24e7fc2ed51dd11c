package org.masticpaddle.gateway;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.routing.UpstreamSpeeds;

/**
 * Replays prompts through the placement of many gateways in virtual time. Engines of unequal speed read prompts one after the other
 * and generate events side by side, the slower the more streams they run. They report their loads and, if told to, a work factor. Not
 * thread-safe.
 */
final class UnevenEnginesReplay {
    private static final double PREFILL_TOKENS_PER_MILLI = 80;
    private static final double EVENT_MILLIS = 25;
    private static final double BATCH_STREAMS = 16;
    private static final int EVENTS = 8;
    private static final int MEAN_TOKENS = 2_500;
    private static final long TICK_MILLIS = 1;
    private static final RoutingTable TABLE =
            RoutingTable.of(1, List.of(), Map.of(), List.of(), RequestLimits.DEFAULT, false);

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random;
    private final UpstreamPlacement placement;
    private final List<Engine> engines;
    private final List<Gateway> gateways;
    private double waitMillis;
    private long answers;
    private long requests;

    /**
     * Creates a deployment.
     *
     * @param gatewayCount number of gateways
     * @param factors times that work takes at the engines, relative to the usual time
     * @param speeds whether learned speeds count
     * @param seed seed of the random source
     */
    UnevenEnginesReplay(int gatewayCount, List<Double> factors, UpstreamSpeeds speeds, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        placement = new UpstreamPlacement("d", speeds);
        engines = IntStream.range(0, factors.size())
                .mapToObj(index -> new Engine(index, factors.get(index)))
                .toList();
        gateways = IntStream.range(0, gatewayCount)
                .mapToObj(index -> new Gateway())
                .toList();
    }

    /** Sends requests at random times, at a rate that would keep the engines busy for a part of the time with prefill alone. */
    void run(long durationMillis, double utilisation) {
        final double requestsPerMilli = utilisation
                * engines.stream().mapToDouble(Engine::speed).sum()
                * PREFILL_TOKENS_PER_MILLI
                / MEAN_TOKENS;
        double nextMillis = millis();
        final double end = millis() + durationMillis;
        while (nextMillis < end) {
            if (nextMillis <= millis()) {
                gateways.get(random.nextInt(gateways.size())).send();
                nextMillis -= Math.log(1 - random.nextDouble()) / requestsPerMilli;
            } else {
                scheduler.advance(TICK_MILLIS);
            }
        }
    }

    /** Makes an engine report a work factor, true or not. */
    void report(int engineIndex, double workFactor) {
        engines.get(engineIndex).reportedFactor = OptionalDouble.of(workFactor);
    }

    void resetCounts() {
        waitMillis = 0;
        answers = 0;
        engines.forEach(engine -> engine.requests = 0);
    }

    /** Returns the mean time to the first event in milliseconds. */
    double meanWaitMillis() {
        return waitMillis / answers;
    }

    /** Returns the largest {@linkplain #part part} of an engine. */
    double largestPart() {
        return IntStream.range(0, engines.size()).mapToDouble(this::part).max().orElseThrow();
    }

    /** Returns the ratio of an engine's part of the requests to its part of the speed of all. */
    double part(int engineIndex) {
        final double speeds = engines.stream().mapToDouble(Engine::speed).sum();
        final long sum = engines.stream().mapToLong(engine -> engine.requests).sum();
        final Engine engine = engines.get(engineIndex);
        return engine.requests / (double) sum / (engine.speed() / speeds);
    }

    private long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    /** One gateway. Not thread-safe. */
    private final class Gateway {
        private final GatewayState state =
                new GatewayState(RolloutDeployment.BOUNDS, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
        private final EstimateRecorder recorder;

        Gateway() {
            engines.forEach(engine -> state.registry().applyEntry(engine.upstream, 0));
            recorder = new EstimateRecorder(
                    state,
                    new LearningRouter(upstream -> true),
                    "s",
                    new RequestModels(state, EstimateRecorderTest.admitted(TABLE), "s"));
        }

        void send() {
            final int tokens = 200 + random.nextInt(2 * (MEAN_TOKENS - 200));
            final List<PromptSegment> prompt = List.of(new PromptSegment("p" + requests++, tokens));
            final UpstreamPlacement.Choice choice = placement
                    .choose(
                            new UpstreamPlacement.Request("m", 1, prompt, tokens, 1, false),
                            state.registry().members("s"),
                            member -> true,
                            state.serviceTimes("s"),
                            scheduler.nanos())
                    .orElseThrow();
            final UpstreamState upstream = choice.member();
            final boolean withoutBacklog = upstream.prefillBacklogMillis() == 0;
            final Attempt attempt = new Attempt(
                    upstream,
                    upstream.assign("m", prompt, choice.uncachedTokens(), choice.serviceMillis(), 0, scheduler.nanos()),
                    choice.expectedMillis(),
                    choice.serviceMillis(),
                    withoutBacklog,
                    scheduler.nanos(),
                    new EstimateRecorderTest.IgnoringListener());
            engines.get(Integer.parseInt(upstream.upstream().id().substring(1))).run(attempt, tokens, recorder);
        }
    }

    /** One engine. Not thread-safe. */
    private final class Engine {
        private final Upstream upstream;
        private final double factor;
        private double freeAtMillis;
        private int waiting;
        private int running;
        private long requests;
        private OptionalDouble reportedFactor = OptionalDouble.empty();

        Engine(int index, double factor) {
            upstream = new Upstream("e" + index, "s", URI.create("http://127.0.0.1:1"), "d", "v", 64, false, 1, 0);
            this.factor = factor;
        }

        double speed() {
            return 1 / factor;
        }

        void run(Attempt attempt, int tokens, EstimateRecorder recorder) {
            requests++;
            waiting++;
            freeAtMillis = Math.max(millis(), freeAtMillis) + factor * tokens / PREFILL_TOKENS_PER_MILLI;
            scheduler.schedule(Math.round(freeAtMillis) - millis(), () -> {
                waiting--;
                running++;
                waitMillis += (scheduler.nanos() - attempt.sentNanos()) / 1e6;
                answers++;
                report(attempt.upstream());
                recorder.recordAnswerStart(attempt, "m", 0, scheduler.nanos());
                attempt.markStarted(scheduler.nanos());
                final double eventMillis = EVENT_MILLIS * factor * (1 + running / BATCH_STREAMS);
                scheduler.schedule(Math.round((EVENTS - 1) * eventMillis), () -> {
                    running--;
                    attempt.recordEvents(EVENTS);
                    recorder.recordAnswerEnd(attempt, "m", scheduler.nanos());
                    attempt.cancel();
                });
            });
        }

        private void report(UpstreamState state) {
            state.onReport(
                    SelfReports.workFactor(running, waiting, 64, reportedFactor), true, false, scheduler.nanos());
        }
    }
}
