package org.masticpaddle.routing;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;

/**
 * Replays prompts with shared segments through the placement of many gateways in virtual time. Engines prefill prompts one after
 * the other and keep what they have read, least recently used first out. Not thread-safe.
 */
final class SharedPromptReplay {
    private static final double PREFILL_TOKENS_PER_MILLI = 17;
    private static final long MIN_PREFILL_MILLIS = 15;
    private static final long DECODE_MILLIS = 900;
    private static final long CACHE_TOKENS = 280_000;
    private static final int OWN_TOKENS = 3_700;
    private static final long TICK_MILLIS = 5;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<List<PromptSegment>> chains;
    private final UpstreamPlacement placement = new UpstreamPlacement("d", UpstreamSpeeds.IGNORED);
    private final ServiceTimes times = new ServiceTimes();
    private long requests;
    private long sharedTokens;
    private long sharedTokensRead;
    private long waitMillis;
    private long answers;

    /**
     * Creates a deployment.
     *
     * @param gatewayCount number of gateways
     * @param engineCount number of engines
     * @param chains shared segments of the prompts, in order; the lower a chain's index, the more often it is used
     * @param seed seed of the random source
     */
    SharedPromptReplay(int gatewayCount, int engineCount, List<List<PromptSegment>> chains, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.chains = chains;
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(index));
        }
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(new Gateway());
        }
    }

    void run(long durationMillis, double requestsPerSecond) {
        final long end = millis() + durationMillis;
        while (millis() < end) {
            double due = requestsPerSecond * TICK_MILLIS / 1_000;
            while (random.nextDouble() < Math.min(1, due)) {
                send(gateways.get(random.nextInt(gateways.size())));
                due -= 1;
            }
            scheduler.advance(TICK_MILLIS);
        }
    }

    void resetCounts() {
        sharedTokens = 0;
        sharedTokensRead = 0;
        waitMillis = 0;
        answers = 0;
    }

    /** Returns the part of the shared tokens that engines read, because they did not hold them. */
    double readShare() {
        return (double) sharedTokensRead / sharedTokens;
    }

    /** Returns the mean time to the first token in milliseconds. */
    double meanWaitMillis() {
        return (double) waitMillis / answers;
    }

    private long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    private void send(Gateway gateway) {
        final double skewed = Math.pow(random.nextDouble(), 1.5);
        final List<PromptSegment> shared = chains.get((int) (skewed * chains.size()));
        final List<PromptSegment> prompt = new ArrayList<>(shared);
        prompt.add(new PromptSegment("own-" + requests++, OWN_TOKENS));
        final int promptTokens = prompt.stream().mapToInt(PromptSegment::tokens).sum();
        final UpstreamPlacement.Choice choice = placement
                .choose(
                        new UpstreamPlacement.Request("m", 1, prompt, promptTokens, 1, false),
                        gateway.registry.members("s"),
                        member -> true,
                        times,
                        scheduler.nanos())
                .orElseThrow();
        final Engine engine =
                engines.get(Integer.parseInt(choice.member().upstream().id().substring(1)));
        engine.run(choice, prompt, shared.size());
    }

    /** One gateway. Not thread-safe. */
    private final class Gateway {
        private final UpstreamRegistry registry = new UpstreamRegistry(0);

        Gateway() {
            engines.forEach(engine -> registry.applyEntry(engine.upstream, 0));
        }
    }

    /** One engine. Not thread-safe. */
    private final class Engine {
        private final Upstream upstream;
        private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
        private final Map<InFlightRequest, Long> running = new HashMap<>();
        private long cachedTokens;
        private long freeAtMillis;

        Engine(int index) {
            upstream = new Upstream("e" + index, "s", URI.create("http://127.0.0.1:1"), "d", "v", 64, false, 1, 0);
        }

        void run(UpstreamPlacement.Choice choice, List<PromptSegment> prompt, int sharedCount) {
            final UpstreamState member = choice.member();
            final InFlightRequest request = member.assign(
                    "m", prompt, choice.uncachedTokens(), choice.serviceMillis(), CACHE_TOKENS, scheduler.nanos());
            final long readTokens = read(prompt, sharedCount);
            final long start = Math.max(millis(), freeAtMillis);
            freeAtMillis = start + MIN_PREFILL_MILLIS + Math.round(readTokens / PREFILL_TOKENS_PER_MILLI);
            final long sentMillis = millis();
            running.put(request, sentMillis);
            scheduler.schedule(freeAtMillis - sentMillis, () -> {
                waitMillis += millis() - sentMillis;
                answers++;
                member.onAnswerStart(request);
                member.onSuccess(choice.expectedMillis(), millis() - sentMillis, scheduler.nanos());
                member.onReport(SelfReports.load(running.size(), 0, 64), true, false, scheduler.nanos());
                scheduler.schedule(DECODE_MILLIS, () -> {
                    running.remove(request);
                    member.release(request);
                });
            });
        }

        /** Reads a prompt into the cache; returns the number of tokens that were not there. */
        private long read(List<PromptSegment> prompt, int sharedCount) {
            long readTokens = 0;
            boolean prefixHeld = true;
            for (int index = 0; index < prompt.size(); index++) {
                final PromptSegment segment = prompt.get(index);
                prefixHeld &= cache.containsKey(segment.id());
                if (cache.put(segment.id(), segment.tokens()) == null) {
                    cachedTokens += segment.tokens();
                }
                readTokens += prefixHeld ? 0 : segment.tokens();
                if (index < sharedCount) {
                    sharedTokens += segment.tokens();
                    sharedTokensRead += prefixHeld ? 0 : segment.tokens();
                }
            }
            final Iterator<Integer> oldest = cache.values().iterator();
            while (cachedTokens > CACHE_TOKENS && oldest.hasNext()) {
                cachedTokens -= oldest.next();
                oldest.remove();
            }
            return readTokens;
        }
    }
}
