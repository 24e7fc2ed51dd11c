package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.EngineControl.CacheEvent;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.routing.UpstreamPolicy;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.UpstreamSet;
import org.masticpaddle.routing.UpstreamView;

/** Latency and prefix-cache hits of a policy over fake upstreams in virtual time; entries know only late reports. */
final class UpstreamExperiment {
    static final VersionName VERSION = new VersionName("large", "1");

    private static final int REQUESTS = 12_000;
    private static final int ENTRIES = 4;
    private static final int SESSIONS = 400;
    private static final int TURNS_PER_SESSION = 12;
    private static final int ORGANISATION_PREFIX_BLOCKS = 2;
    private static final int BLOCKS_PER_TURN = 2;
    private static final double PREFILL_MILLIS_PER_BLOCK = 15;
    private static final long CACHE_EVENT_DELAY_MILLIS = 500;
    private static final double CACHE_EVENT_LOSS_SHARE = 0.1;
    private static final int CACHE_BLOCKS_PER_UPSTREAM = 1_000;

    private final Setup setup;
    private final UniformRandomProvider random;
    /** Arrivals and service times have a source of their own, so that all policies see the same requests. */
    private final UniformRandomProvider loadRandom;

    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int[] sessionTurns = new int[SESSIONS];
    private final long[] sessionSeeds = new long[SESSIONS];
    private final Histogram latencies = new Histogram(3);
    private long cachedBlocks;
    private long promptBlocks;
    private long nextEventOrder;

    UpstreamExperiment(Setup setup, long seed) {
        this.setup = setup;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed + 100L * setup.deployment().workers());
        loadRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed + 1_000L * setup.deployment().workers());
        final RoutingDeployment deployment = setup.deployment;
        for (int index = 0; index < deployment.workers(); index++) {
            upstreams.add(new FakeUpstream("u" + index, VERSION, deployment.slots(), CACHE_BLOCKS_PER_UPSTREAM));
        }
        for (int index = 0; index < ENTRIES; index++) {
            entries.add(new Entry(deployment));
        }
        for (int index = 0; index < SESSIONS; index++) {
            sessionSeeds[index] = loadRandom.nextLong();
        }
    }

    /**
     * What to run.
     *
     * @param deployment deployment
     * @param policy policy that chooses
     * @param sharedPrefixes whether prompts share prefixes
     * @param reportIntervalMillis time between two reports of an upstream
     * @param utilisation offered load as a part of the capacity without cache hits
     */
    record Setup(
            RoutingDeployment deployment, Policy policy, boolean sharedPrefixes, long reportIntervalMillis, double utilisation) {}

    /**
     * Result of a run.
     *
     * @param p99Millis 99th percentile of the time from arrival to the whole answer
     * @param hitShare part of the prompt blocks found in a cache
     */
    record Result(double p99Millis, double hitShare) {}

    /** Policies compared. */
    enum Policy {
        ROUTED("routed"),
        RANDOM("random"),
        ROUND_ROBIN("round robin"),
        LEAST_OUTSTANDING("least outstanding");

        private final String label;

        Policy(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    Result run() {
        final RoutingDeployment deployment = setup.deployment;
        final double meanBlocks = ORGANISATION_PREFIX_BLOCKS + BLOCKS_PER_TURN * (TURNS_PER_SESSION + 1) / 2.0;
        final double meanService = 1_150 + (setup.sharedPrefixes ? meanBlocks : 10) * PREFILL_MILLIS_PER_BLOCK;
        final double interval = meanService / (deployment.workers() * deployment.slots() * setup.utilisation);
        double time = 0;
        for (int index = 0; index < REQUESTS; index++) {
            time += -Math.log(1 - loadRandom.nextDouble()) * interval;
            final long at = (long) time;
            final FakeUpstream.Job job = nextJob(at);
            schedule(at, () -> dispatch(job, at));
        }
        for (int index = 0; index < upstreams.size(); index++) {
            final FakeUpstream upstream = upstreams.get(index);
            final long offset = index * setup.reportIntervalMillis / upstreams.size();
            for (long at = offset; at < time; at += setup.reportIntervalMillis) {
                final long reported = at;
                schedule(reported, () -> deliverReport(upstream, reported));
            }
        }
        while (!events.isEmpty()) {
            events.poll().action.run();
        }
        return new Result(latencies.getValueAtPercentile(99), promptBlocks == 0 ? 0 : cachedBlocks / (double) promptBlocks);
    }

    private FakeUpstream.Job nextJob(long at) {
        // Nine in ten answers take up to 1.6 s, the rest up to 4 s.
        final double decode =
                loadRandom.nextDouble() < 0.9 ? 400 + 1_200 * loadRandom.nextDouble() : 1_600 + 2_400 * loadRandom.nextDouble();
        if (!setup.sharedPrefixes) {
            return new FakeUpstream.Job(new long[0], 10 * PREFILL_MILLIS_PER_BLOCK, decode, at);
        }
        final int session = loadRandom.nextInt(SESSIONS);
        sessionTurns[session]++;
        final int count = ORGANISATION_PREFIX_BLOCKS + BLOCKS_PER_TURN * sessionTurns[session];
        final long[] prefixes = new long[count];
        for (int index = 0; index < count; index++) {
            final long owner = index < ORGANISATION_PREFIX_BLOCKS ? session % 10 : sessionSeeds[session];
            prefixes[index] = owner * 1_000_003L + index;
        }
        if (sessionTurns[session] == TURNS_PER_SESSION) {
            sessionTurns[session] = 0;
            sessionSeeds[session] = loadRandom.nextLong();
        }
        return new FakeUpstream.Job(prefixes, count * PREFILL_MILLIS_PER_BLOCK, decode, at);
    }

    private void dispatch(FakeUpstream.Job job, long now) {
        final Entry entry = entries.get(random.nextInt(ENTRIES));
        final int chosen = entry.chooseIndex(job, now);
        final UpstreamView view = entry.views.get(chosen);
        view.onDispatch(now);
        entry.prefixIndex.onDispatch(view.id(), VERSION, job.prefixes, now);
        final FakeUpstream upstream = upstreams.get(chosen);
        if (upstream.accept(job)) {
            startJob(upstream, job, entry, view, now);
        } else {
            entry.queuedJobs.add(new QueuedJob(job, view));
        }
    }

    private void startJob(FakeUpstream upstream, FakeUpstream.Job job, Entry entry, UpstreamView view, long now) {
        final long end = now + Math.round(upstream.start(job, now));
        cachedBlocks += job.cachedBlocks;
        promptBlocks += job.prefixes.length;
        schedule(end, () -> {
            latencies.recordValue(end - job.arrivalMillis);
            view.onEnd(true, end - job.arrivalMillis, end);
            for (final FakeUpstream.Job next : upstream.finishJob()) {
                startWaiting(upstream, next, end);
            }
        });
    }

    private void startWaiting(FakeUpstream upstream, FakeUpstream.Job next, long now) {
        for (final Entry entry : entries) {
            for (final QueuedJob waiting : entry.queuedJobs) {
                if (waiting.job == next) {
                    entry.queuedJobs.remove(waiting);
                    startJob(upstream, next, entry, waiting.view, now);
                    return;
                }
            }
        }
    }

    private void deliverReport(FakeUpstream upstream, long now) {
        for (final Entry entry : entries) {
            entry.views.find(upstream.id()).orElseThrow().onReport(upstream.loadReport(), now);
            if (setup.sharedPrefixes && setup.policy == Policy.ROUTED) {
                final List<CacheEvent> received =
                        upstream.eventsAfter(entry.prefixIndex.lastSequence(upstream.id()), now - CACHE_EVENT_DELAY_MILLIS);
                received.removeIf(event -> random.nextDouble() < CACHE_EVENT_LOSS_SHARE);
                entry.prefixIndex.onEvents(upstream.id(), received, now);
            }
        }
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, nextEventOrder++, action));
    }

    private record Event(long timeMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMillis != other.timeMillis ? Long.compare(timeMillis, other.timeMillis) : Long.compare(order, other.order);
        }
    }

    private record QueuedJob(FakeUpstream.Job job, UpstreamView view) {}

    /** One entry with its own view of the upstreams. */
    private final class Entry {
        private final UpstreamSet views = new UpstreamSet();
        private final PrefixIndex prefixIndex = new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS);
        private final UpstreamSelector selector;
        private final List<QueuedJob> queuedJobs = new ArrayList<>();
        private int nextIndex;

        private Entry(RoutingDeployment deployment) {
            selector = new UpstreamSelector(UpstreamPolicy.of(deployment.region()));
            nextIndex = random.nextInt(deployment.workers());
            for (int index = 0; index < upstreams.size(); index++) {
                final UpstreamView view = new UpstreamView(
                        upstreams.get(index).id(),
                        deployment.region(),
                        deployment.failureDomains().get(index % 3));
                view.onReport(upstreams.get(index).loadReport(), 0);
                views.put(view);
            }
        }

        private int chooseIndex(FakeUpstream.Job job, long now) {
            return switch (setup.policy) {
                case RANDOM -> random.nextInt(views.size());
                case ROUND_ROBIN -> nextIndex++ % views.size();
                case LEAST_OUTSTANDING -> leastOutstanding();
                case ROUTED -> chooseRouted(job, now);
            };
        }

        private int chooseRouted(FakeUpstream.Job job, long now) {
            final UpstreamRequest request =
                    new UpstreamRequest(VERSION, job.prefixes, job.prefillMillis, Optional.empty());
            final UpstreamView view =
                    selector.choose(views, request, prefixIndex, now, random).orElseThrow();
            return Integer.parseInt(view.id().substring(1));
        }

        private int leastOutstanding() {
            final int start = random.nextInt(views.size());
            int best = start;
            for (int step = 1; step < views.size(); step++) {
                final int index = (start + step) % views.size();
                best = views.get(index).outstanding() < views.get(best).outstanding() ? index : best;
            }
            return best;
        }
    }
}
