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
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.UpstreamPolicy;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamSet;
import org.masticpaddle.routing.UpstreamView;

/** Latency and prefix-cache hits of a policy over fake upstreams in virtual time; entries know only late reports. */
final class UpstreamExperiment {
    static final VersionName VERSION = new VersionName("large", "1");

    private static final int REQUESTS = 12_000;
    private static final int ENTRIES = 4;
    private static final int SESSIONS = 400;
    private static final int TURNS = 12;
    private static final int ORGANISATION_BLOCKS = 2;
    private static final int BLOCKS_A_TURN = 2;
    private static final double PREFILL_MILLIS_A_BLOCK = 15;
    private static final long EVENT_DELAY_MILLIS = 500;
    private static final double LOST_EVENTS = 0.1;
    private static final int CACHE_BLOCKS = 1_000;

    private final Setup setup;
    private final UniformRandomProvider random;
    /** Arrivals and service times have a source of their own, so that all policies see the same requests. */
    private final UniformRandomProvider load;

    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int[] turns = new int[SESSIONS];
    private final long[] sessions = new long[SESSIONS];
    private final Histogram latencies = new Histogram(3);
    private long hits;
    private long blocks;
    private long order;

    UpstreamExperiment(Setup setup, long seed) {
        this.setup = setup;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed + 100L * setup.deployment().workers());
        load = RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed + 1_000L * setup.deployment().workers());
        final RoutingDeployment deployment = setup.deployment;
        for (int index = 0; index < deployment.workers(); index++) {
            upstreams.add(new FakeUpstream("u" + index, VERSION, deployment.slots(), CACHE_BLOCKS));
        }
        for (int index = 0; index < ENTRIES; index++) {
            entries.add(new Entry(deployment));
        }
        for (int index = 0; index < SESSIONS; index++) {
            sessions[index] = load.nextLong();
        }
    }

    /**
     * What to run.
     *
     * @param deployment deployment
     * @param policy policy that chooses
     * @param prefixed whether prompts share prefixes
     * @param reportMillis time between two reports of an upstream
     * @param utilisation offered load as a part of the capacity without cache hits
     */
    record Setup(
            RoutingDeployment deployment, Policy policy, boolean prefixed, long reportMillis, double utilisation) {}

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
        final double meanBlocks = ORGANISATION_BLOCKS + BLOCKS_A_TURN * (TURNS + 1) / 2.0;
        final double meanService = 1_150 + (setup.prefixed ? meanBlocks : 10) * PREFILL_MILLIS_A_BLOCK;
        final double interval = meanService / (deployment.workers() * deployment.slots() * setup.utilisation);
        double time = 0;
        for (int index = 0; index < REQUESTS; index++) {
            time += -Math.log(1 - load.nextDouble()) * interval;
            final long at = (long) time;
            final FakeUpstream.Job job = job(at);
            at(at, () -> dispatch(job, at));
        }
        for (int index = 0; index < upstreams.size(); index++) {
            final FakeUpstream upstream = upstreams.get(index);
            final long offset = index * setup.reportMillis / upstreams.size();
            for (long at = offset; at < time; at += setup.reportMillis) {
                final long reported = at;
                at(reported, () -> report(upstream, reported));
            }
        }
        while (!events.isEmpty()) {
            events.poll().action.run();
        }
        return new Result(latencies.getValueAtPercentile(99), blocks == 0 ? 0 : hits / (double) blocks);
    }

    private FakeUpstream.Job job(long at) {
        // Nine in ten answers take up to 1.6 s, the rest up to 4 s.
        final double decode =
                load.nextDouble() < 0.9 ? 400 + 1_200 * load.nextDouble() : 1_600 + 2_400 * load.nextDouble();
        if (!setup.prefixed) {
            return new FakeUpstream.Job(new long[0], 10 * PREFILL_MILLIS_A_BLOCK, decode, at);
        }
        final int session = load.nextInt(SESSIONS);
        turns[session]++;
        final int count = ORGANISATION_BLOCKS + BLOCKS_A_TURN * turns[session];
        final long[] prefixes = new long[count];
        for (int index = 0; index < count; index++) {
            final long owner = index < ORGANISATION_BLOCKS ? session % 10 : sessions[session];
            prefixes[index] = owner * 1_000_003L + index;
        }
        if (turns[session] == TURNS) {
            turns[session] = 0;
            sessions[session] = load.nextLong();
        }
        return new FakeUpstream.Job(prefixes, count * PREFILL_MILLIS_A_BLOCK, decode, at);
    }

    private void dispatch(FakeUpstream.Job job, long now) {
        final Entry entry = entries.get(random.nextInt(ENTRIES));
        final int chosen = entry.choose(job, now);
        final UpstreamView view = entry.set.get(chosen);
        view.onDispatch(now);
        entry.prefixes.onDispatch(view.id(), VERSION, job.prefixes, now);
        final FakeUpstream upstream = upstreams.get(chosen);
        if (upstream.accept(job)) {
            start(upstream, job, entry, view, now);
        } else {
            entry.waiting.add(new Waiting(job, view));
        }
    }

    private void start(FakeUpstream upstream, FakeUpstream.Job job, Entry entry, UpstreamView view, long now) {
        final long end = now + Math.round(upstream.start(job, now));
        hits += job.hits;
        blocks += job.prefixes.length;
        at(end, () -> {
            latencies.recordValue(end - job.arrived);
            view.onEnd(true, end - job.arrived, end);
            for (final FakeUpstream.Job next : upstream.end()) {
                startWaiting(upstream, next, end);
            }
        });
    }

    private void startWaiting(FakeUpstream upstream, FakeUpstream.Job next, long now) {
        for (final Entry entry : entries) {
            for (final Waiting waiting : entry.waiting) {
                if (waiting.job == next) {
                    entry.waiting.remove(waiting);
                    start(upstream, next, entry, waiting.view, now);
                    return;
                }
            }
        }
    }

    private void report(FakeUpstream upstream, long now) {
        for (final Entry entry : entries) {
            entry.set.find(upstream.id()).orElseThrow().onReport(upstream.report(), now);
            if (setup.prefixed && setup.policy == Policy.ROUTED) {
                final List<CacheEvent> received =
                        upstream.events(entry.prefixes.lastSequence(upstream.id()), now - EVENT_DELAY_MILLIS);
                received.removeIf(event -> random.nextDouble() < LOST_EVENTS);
                entry.prefixes.onEvents(upstream.id(), received, now);
            }
        }
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private record Event(long time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Long.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    private record Waiting(FakeUpstream.Job job, UpstreamView view) {}

    /** One entry with its own view of the upstreams. */
    private final class Entry {
        private final UpstreamSet set = new UpstreamSet();
        private final PrefixIndex prefixes = new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS);
        private final UpstreamSelector choice;
        private final List<Waiting> waiting = new ArrayList<>();
        private int next;

        private Entry(RoutingDeployment deployment) {
            choice = new UpstreamSelector(UpstreamPolicy.of(deployment.region()));
            next = random.nextInt(deployment.workers());
            for (int index = 0; index < upstreams.size(); index++) {
                final UpstreamView view = new UpstreamView(
                        upstreams.get(index).id(),
                        deployment.region(),
                        deployment.failureDomains().get(index % 3));
                view.onReport(upstreams.get(index).report(), 0);
                set.put(view);
            }
        }

        private int choose(FakeUpstream.Job job, long now) {
            return switch (setup.policy) {
                case RANDOM -> random.nextInt(set.size());
                case ROUND_ROBIN -> next++ % set.size();
                case LEAST_OUTSTANDING -> leastOutstanding();
                case ROUTED -> routed(job, now);
            };
        }

        private int routed(FakeUpstream.Job job, long now) {
            final UpstreamRequest request =
                    new UpstreamRequest(VERSION, job.prefixes, job.prefillMillis, Optional.empty());
            final UpstreamView view =
                    choice.choose(set, request, prefixes, now, random).orElseThrow();
            return Integer.parseInt(view.id().substring(1));
        }

        private int leastOutstanding() {
            final int start = random.nextInt(set.size());
            int best = start;
            for (int step = 1; step < set.size(); step++) {
                final int index = (start + step) % set.size();
                best = set.get(index).outstanding() < set.get(best).outstanding() ? index : best;
            }
            return best;
        }
    }
}
