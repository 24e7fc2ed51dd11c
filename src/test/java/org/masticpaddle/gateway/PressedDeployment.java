package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.admission.AdmissionCandidate;
import org.masticpaddle.admission.Verdict;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.SelfReports;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.routing.ServiceTimes;
import org.masticpaddle.routing.UpstreamPlacement;

/**
 * Gateways, and upstreams with limited slots and queues, in virtual time. Requests arrive at random; each one is planned as by a
 * gateway, and the upstreams serve their queues by rank. Not thread-safe.
 */
final class PressedDeployment {
    private static final String SERVICE = "s";
    private static final String DOMAIN = "d";
    private static final long GATEWAY_TICK_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 3;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final UniformRandomProvider random;
    private final Capacity capacity;
    private final AdmissionMode mode;
    private final UpstreamPlacement placement = new UpstreamPlacement(DOMAIN);
    private final List<GatewayState> gateways = new ArrayList<>();
    private final List<FakeUpstream> upstreams = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();
    private boolean loadsReported = true;

    PressedDeployment(AdmissionMode mode, int gatewayCount, Capacity capacity, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.capacity = capacity;
        this.mode = mode;
        for (int index = 0; index < capacity.upstreams(); index++) {
            upstreams.add(new FakeUpstream(index));
        }
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(newGateway());
        }
        tick();
    }

    private GatewayState newGateway() {
        final GatewayState state = new GatewayState(RolloutDeployment.BOUNDS, random);
        state.admissions().updateMode(mode);
        upstreams.forEach(upstream -> state.registry().applyEntry(upstream.entry, scheduler.nanos()));
        return state;
    }

    /** Makes the upstreams report no loads. */
    void hideLoads() {
        loadsReported = false;
    }

    /** Replaces a gateway at a time by one that knows nothing; the requests of the old one end as they would have. */
    void restartGateway(int index, long atMillis) {
        scheduler.schedule(atMillis, () -> gateways.set(index, newGateway()));
    }

    /** Makes an upstream lose its requests and refuse connections from a time on. */
    void crashUpstream(int index, long atMillis) {
        scheduler.schedule(atMillis, upstreams.get(index)::crash);
    }

    /**
     * Places of the upstreams.
     *
     * @param upstreams number of upstreams
     * @param slots requests that each of them runs at once
     * @param queue further requests that it accepts
     */
    record Capacity(int upstreams, int slots, int queue) {}

    /**
     * Requests of one kind by one organisation.
     *
     * @param name name of the kind
     * @param organisation organisation that sends them
     * @param rank rank, 0 is the most urgent
     * @param model model that runs them, empty for plain requests
     * @param objectiveMillis latency objective
     * @param timeoutMillis time after which an answer is of no use
     * @param startMillis time from the slot until the answer starts
     * @param holdMillis time from the slot until the end
     */
    record Kind(
            String name,
            String organisation,
            int rank,
            String model,
            long objectiveMillis,
            long timeoutMillis,
            long startMillis,
            long holdMillis) {
        Kind of(String otherOrganisation) {
            return new Kind(
                    name, otherOrganisation, rank, model, objectiveMillis, timeoutMillis, startMillis, holdMillis);
        }
    }

    /** Sends requests of one kind at a mean rate between two times. */
    void load(Kind kind, double requestsPerSecond, long fromMillis, long toMillis) {
        double due = fromMillis;
        while (true) {
            due -= 1_000 / requestsPerSecond * Math.log(1 - random.nextDouble());
            if (due >= toMillis) {
                return;
            }
            final Request request = new Request(kind, (long) due, 0.5 + random.nextDouble());
            requests.add(request);
            final int gateway = random.nextInt(gateways.size());
            scheduler.schedule(request.arrivalMillis, () -> request.start(gateways.get(gateway)));
        }
    }

    void runUntil(long endMillis) {
        scheduler.advance(endMillis - millis());
    }

    /** Returns the fraction of requests between two times whose answers started within their objectives. */
    double inTime(Predicate<Kind> kinds, long fromMillis, long toMillis) {
        return fraction(request -> request.answeredMillis <= request.kind.objectiveMillis, kinds, fromMillis, toMillis);
    }

    /** Returns the fraction of requests between two times that were answered. */
    double served(Predicate<Kind> kinds, long fromMillis, long toMillis) {
        return fraction(request -> request.answeredMillis < Long.MAX_VALUE, kinds, fromMillis, toMillis);
    }

    /** Returns the number of requests that a gateway rejected. */
    long rejected() {
        return requests.stream().filter(request -> request.rejected).count();
    }

    /** Returns the number of requests that were rejected while upstreams had fewer than half of their places taken. */
    long rejectedInVain() {
        return requests.stream().filter(request -> request.rejectedInVain).count();
    }

    /** Returns the number of requests that were rejected untried while any upstream had a free slot. */
    long rejectedWithFreeSlot() {
        return requests.stream().filter(request -> request.rejectedWithFreeSlot).count();
    }

    /** Returns the number of times that upstreams rejected a request for lack of room. */
    long upstreamRejections() {
        return upstreams.stream().mapToLong(upstream -> upstream.rejections).sum();
    }

    /** Returns the longest time that a rejected request was held, as a fraction of its objective. */
    double maxHeldFraction() {
        return requests.stream()
                .filter(request -> request.rejected && request.tried.isEmpty())
                .mapToDouble(request -> (double) request.heldMillis / request.kind.objectiveMillis)
                .max()
                .orElse(0);
    }

    /** Returns the number of requests that ended not exactly once. */
    long notEndedOnce() {
        return requests.stream().filter(request -> request.ends != 1).count();
    }

    /** Returns the upstream of each attempt in order. */
    List<String> attempts() {
        return requests.stream().map(request -> request.tried.toString()).toList();
    }

    private double fraction(Predicate<Request> counted, Predicate<Kind> kinds, long fromMillis, long toMillis) {
        final List<Request> selected = requests.stream()
                .filter(request -> kinds.test(request.kind)
                        && request.arrivalMillis >= fromMillis
                        && request.arrivalMillis < toMillis)
                .toList();
        return (double) selected.stream().filter(counted).count() / selected.size();
    }

    private long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    private void tick() {
        gateways.forEach(gateway -> gateway.limits().tick(scheduler.nanos()));
        scheduler.schedule(GATEWAY_TICK_MILLIS, this::tick);
    }

    /** One upstream. Not thread-safe. */
    private final class FakeUpstream {
        private final Upstream entry;
        private final PriorityQueue<Queued> queue = new PriorityQueue<>(
                Comparator.comparingInt((Queued queued) -> queued.rank).thenComparingLong(queued -> queued.number));
        private final Set<Request> runningRequests = new HashSet<>();
        private long accepted;
        private long rejections;
        private boolean crashed;

        FakeUpstream(int index) {
            entry = new Upstream(
                    "upstream-" + index,
                    SERVICE,
                    URI.create("http://127.0.0.1:" + (index + 1)),
                    DOMAIN,
                    "v1",
                    capacity.slots(),
                    false,
                    1);
        }

        boolean offer(Request request) {
            if (runningRequests.size() >= capacity.slots() && queue.size() >= capacity.queue()) {
                rejections++;
                return false;
            }
            queue.add(new Queued(request, request.kind.rank, accepted++));
            fill();
            return true;
        }

        private void fill() {
            while (runningRequests.size() < capacity.slots() && !queue.isEmpty()) {
                final Request request = queue.poll().request;
                runningRequests.add(request);
                scheduler.schedule(request.scaled(request.kind.startMillis), request::onStarted);
                scheduler.schedule(request.scaled(request.kind.holdMillis), () -> {
                    if (runningRequests.remove(request)) {
                        request.onEnded();
                        fill();
                    }
                });
            }
        }

        private void crash() {
            crashed = true;
            final List<Request> lost = new ArrayList<>(runningRequests);
            queue.forEach(queued -> lost.add(queued.request));
            runningRequests.clear();
            queue.clear();
            lost.forEach(Request::onLost);
        }
    }

    private record Queued(Request request, int rank, long number) {}

    /** One request. Not thread-safe. */
    private final class Request {
        private final Kind kind;
        private final long arrivalMillis;
        private final double scale;
        private final Set<String> tried = new HashSet<>();
        private GatewayState gateway;
        private AttemptAdmission admission;
        private FakeUpstream upstream;
        private UpstreamPlacement.Choice choice;
        private InFlightRequest inFlight;
        private long sentNanos;
        private boolean started;
        private boolean rejected;
        private boolean rejectedInVain;
        private boolean rejectedWithFreeSlot;
        private long heldMillis;
        private long answeredMillis = Long.MAX_VALUE;
        private int ends;

        Request(Kind kind, long arrivalMillis, double scale) {
            this.kind = kind;
            this.arrivalMillis = arrivalMillis;
            this.scale = scale;
        }

        long scaled(long millis) {
            return Math.round(scale * millis);
        }

        void start(GatewayState receiver) {
            gateway = receiver;
            admission = new AttemptAdmission(
                    gateway,
                    scheduler,
                    SERVICE,
                    new AdmissionCandidate(
                            kind.organisation,
                            Optional.empty(),
                            kind.name,
                            kind.rank,
                            kind.holdMillis,
                            scheduler.nanos(),
                            kind.objectiveMillis,
                            kind.timeoutMillis));
            plan();
        }

        private void plan() {
            final Optional<UpstreamPlacement.Choice> best = placement.choose(
                    new UpstreamPlacement.Request(kind.model, 1, List.of(), 200, 1, false),
                    gateway.registry().members(SERVICE),
                    member -> !tried.contains(member.upstream().id()),
                    times(),
                    scheduler.nanos());
            if (best.isEmpty()) {
                reject();
                return;
            }
            final Verdict verdict = tried.isEmpty() ? admission.decide(best.get()) : Verdict.Send.INSTANCE;
            if (verdict instanceof Verdict.Wait wait) {
                scheduler.schedule(wait.millis(), this::plan);
            } else if (verdict instanceof Verdict.Reject) {
                reject();
            } else {
                send(best.get());
            }
        }

        private void reject() {
            rejected = true;
            heldMillis = millis() - arrivalMillis;
            final int places = capacity.upstreams() * capacity.slots();
            rejectedInVain = tried.isEmpty()
                    && upstreams.stream()
                                            .mapToInt(each -> each.runningRequests.size())
                                            .sum()
                                    * 2
                            < places
                    && upstreams.stream().allMatch(each -> each.queue.isEmpty());
            rejectedWithFreeSlot = tried.isEmpty()
                    && upstreams.stream()
                            .anyMatch(each -> !each.crashed && each.runningRequests.size() < capacity.slots());
            end(false);
        }

        private void send(UpstreamPlacement.Choice best) {
            choice = best;
            final UpstreamState member = best.member();
            tried.add(member.upstream().id());
            upstream = upstreams.stream()
                    .filter(each -> each.entry.id().equals(member.upstream().id()))
                    .findFirst()
                    .orElseThrow();
            admission.onSent(best);
            sentNanos = scheduler.nanos();
            inFlight = member.assign(
                    kind.model, List.of(), best.uncachedTokens(), best.serviceMillis(), 0, scheduler.nanos());
            if (upstream.crashed) {
                member.release(inFlight);
                member.onUnreachable(scheduler.nanos());
                admission.onAttemptEnd(AttemptEnd.UNREACHABLE);
                planAgain();
            } else if (!upstream.offer(this)) {
                report(member, true);
                member.release(inFlight);
                member.onNotRun(scheduler.nanos());
                admission.onNotRun(member);
                admission.onAttemptEnd(AttemptEnd.NOT_RUN);
                planAgain();
            }
        }

        private void planAgain() {
            if (tried.size() < MAX_ATTEMPTS) {
                plan();
            } else {
                reject();
            }
        }

        private void report(UpstreamState member, boolean rejection) {
            if (!loadsReported) {
                return;
            }
            member.onReport(
                    SelfReports.load(
                            upstream.runningRequests.size(),
                            upstream.queue.size(),
                            capacity.slots(),
                            OptionalDouble.empty()),
                    true,
                    rejection,
                    scheduler.nanos());
        }

        void onStarted() {
            if (ends > 0) {
                return;
            }
            started = true;
            if (millis() - arrivalMillis <= kind.timeoutMillis) {
                answeredMillis = millis() - arrivalMillis;
            }
            final UpstreamState member = choice.member();
            final double millis = (scheduler.nanos() - sentNanos) / 1e6;
            report(member, false);
            member.onSuccess(choice.expectedMillis(), millis, scheduler.nanos());
            member.onAnswerStart(inFlight);
            if (kind.model.isEmpty()) {
                times().recordPlainRequest(millis);
            }
            admission.onStarted();
        }

        void onEnded() {
            choice.member().release(inFlight);
            end(started);
        }

        void onLost() {
            choice.member().release(inFlight);
            choice.member().onUnreachable(scheduler.nanos());
            answeredMillis = Long.MAX_VALUE;
            end(false);
        }

        private void end(boolean answered) {
            ends++;
            admission.close(answered);
        }

        private ServiceTimes times() {
            return gateway.serviceTimes(SERVICE);
        }
    }
}
