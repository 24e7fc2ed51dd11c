package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.InFlightRequest;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.quarantine.Admission;
import org.masticpaddle.wire.HttpRequestException;

/**
 * Gateways, engines and callers in virtual time. An engine crashes when it begins to answer a request with the crashing segment,
 * or when a test crashes it, and starts again some seconds later as another incarnation. Not thread-safe.
 */
final class CrashingDeployment {
    static final String CRASHING = "crashing";

    private static final long TICK_MILLIS = 20;
    private static final long MIN_PREFILL_MILLIS = 80;
    private static final long PREFILL_SPREAD_MILLIS = 250;
    /** Time between the beginning of an answer and the crash; no event is complete by then. */
    private static final long CRASH_MILLIS = 60;

    private static final long EVENT_MILLIS = 70;
    private static final int EVENTS = 10;
    private static final long RESTART_MILLIS = 2_500;
    private static final long RECHECK_MILLIS = 40;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int MAX_ATTEMPTS = 3;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams sharedLog = new FakeStreams(scheduler);
    private final UniformRandomProvider random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Long> crashMillis = new ArrayList<>();
    private final List<Long> crashingArrivalMillis = new ArrayList<>();
    private final Map<String, Integer> soundBegun = new HashMap<>();
    private int soundSent;
    private int soundBegunAtFirstAttempt;
    private int soundRejected;
    private int nextRequest;

    CrashingDeployment(int gatewayCount, int engineCount, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(index));
        }
        for (int index = 0; index < gatewayCount; index++) {
            gateways.add(new Gateway("gateway-" + index));
        }
    }

    FakeStreams sharedLog() {
        return sharedLog;
    }

    long millis() {
        return scheduler.nanos() / 1_000_000L;
    }

    /** Returns the times at which engines crashed on the crashing segment. */
    List<Long> crashMillis() {
        return crashMillis;
    }

    /** Returns the number of requests with the crashing segment that reached an engine later than a time. */
    long crashingArrivalsAfter(long millis) {
        return crashingArrivalMillis.stream().filter(time -> time > millis).count();
    }

    /** Returns the share of the requests without the crashing segment that began at their first attempt. */
    double soundShare() {
        return (double) soundBegunAtFirstAttempt / soundSent;
    }

    /** Returns the number of requests without the crashing segment that the quarantine rejected. */
    int soundRejected() {
        return soundRejected;
    }

    int soundSent() {
        return soundSent;
    }

    /** Starts to count requests without the crashing segment anew. */
    void resetCounts() {
        soundSent = 0;
        soundBegunAtFirstAttempt = 0;
        soundRejected = 0;
    }

    /** Replaces a gateway by a new process under the same name. */
    void restartGateway(int index) {
        gateways.set(index, gateways.get(index).restarted());
    }

    /** Crashes engines that are up, all at the same moment. */
    void crashEngines(int count) {
        engines.stream().filter(engine -> engine.up).limit(count).toList().forEach(Engine::crash);
    }

    /** Sends sound requests and requests with the crashing segment at random times and gateways. */
    void run(long durationMillis, double soundPerSecond, double crashingPerSecond) {
        final long end = millis() + durationMillis;
        while (millis() < end) {
            for (double expected = soundPerSecond * TICK_MILLIS / 1_000; expected > 0; expected--) {
                if (random.nextDouble() < expected) {
                    send(Set.of("system-" + random.nextInt(4), "subject-" + random.nextInt(200)));
                }
            }
            if (random.nextDouble() < crashingPerSecond * TICK_MILLIS / 1_000) {
                send(Set.of("system-" + random.nextInt(4), CRASHING));
            }
            scheduler.advance(TICK_MILLIS);
            if (millis() % 100 == 0) {
                gateways.forEach(gateway -> gateway.coordinator.tick());
            }
        }
    }

    private void send(Set<String> segments) {
        new Request(gateways.get(random.nextInt(gateways.size())), segments).start();
    }

    /** One gateway process. Not thread-safe. */
    private final class Gateway {
        private final String name;
        private final QuarantineCoordinator coordinator;
        private final UpstreamRegistry registry = new UpstreamRegistry(0);
        private boolean stopped;

        Gateway(String name) {
            this.name = name;
            coordinator = new QuarantineCoordinator(
                    name,
                    sharedLog,
                    this::checkReachable,
                    scheduler,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                    CrashingDeployment.this::millis,
                    new DecisionLog(name, () -> 0, text -> {}));
            coordinator.start();
        }

        Gateway restarted() {
            stopped = true;
            return new Gateway(name);
        }

        UpstreamState state(Engine engine) {
            final Upstream upstream = engine.upstream();
            registry.applyEntry(upstream, scheduler.nanos());
            return registry.find(upstream.id()).orElseThrow();
        }

        private CompletableFuture<Void> checkReachable(URI origin) {
            final CompletableFuture<Void> reached = new CompletableFuture<>();
            final Engine engine = engines.get(origin.getPort() - 1);
            scheduler.schedule(2, () -> {
                if (engine.up) {
                    reached.complete(null);
                } else {
                    reached.completeExceptionally(new IllegalStateException("connection refused"));
                }
            });
            return reached;
        }
    }

    /** One engine with its attempts in flight. Not thread-safe. */
    private final class Engine {
        private final int index;
        private final Set<Request> inFlight = new HashSet<>();
        private boolean up = true;
        private long startMillis = 1;

        Engine(int index) {
            this.index = index;
        }

        Upstream upstream() {
            return new Upstream(
                    "engine-" + index,
                    "s",
                    URI.create("http://127.0.0.1:" + (index + 1)),
                    "d",
                    "v1",
                    64,
                    false,
                    startMillis,
                    0);
        }

        void crash() {
            up = false;
            final List<Request> lost = List.copyOf(inFlight);
            inFlight.clear();
            lost.forEach(Request::onLost);
            scheduler.schedule(RESTART_MILLIS, () -> {
                up = true;
                startMillis = millis();
            });
        }
    }

    /** One request, forwarded as the gateway does it. Not thread-safe. */
    private final class Request implements Attempt.Listener {
        private final Gateway gateway;
        private final Set<String> segments;
        private final String id = "request-" + nextRequest++;
        private final long startMillis = millis();
        private final PromptGuard guard;
        private Engine engine;
        private Attempt attempt;
        private AttemptObserver observer;
        private int attempts;
        private int events;
        private boolean ended;

        Request(Gateway gateway, Set<String> segments) {
            this.gateway = gateway;
            this.segments = segments;
            guard = gateway.coordinator.guard("s", segments, this::onChange);
        }

        private boolean sound() {
            return !segments.contains(CRASHING);
        }

        void start() {
            soundSent += sound() ? 1 : 0;
            tryStart();
        }

        private void tryStart() {
            if (ended || gateway.stopped) {
                return;
            }
            final Admission admission = guard.admission();
            final boolean late = millis() - startMillis > TIMEOUT_MILLIS / 2;
            if (admission.outcome() == Admission.Outcome.REJECTED
                    || late
                    || attempts >= MAX_ATTEMPTS
                    || guard.exhausted()) {
                soundRejected += sound() && admission.outcome().compareTo(Admission.Outcome.HELD) >= 0 ? 1 : 0;
                end();
                return;
            }
            final List<Engine> available =
                    engines.stream().filter(each -> each.up).toList();
            if (admission.outcome() == Admission.Outcome.HELD || available.isEmpty()) {
                scheduler.schedule(RECHECK_MILLIS, this::tryStart);
                return;
            }
            sendTo(available.get(random.nextInt(available.size())), admission);
        }

        private void sendTo(Engine chosen, Admission admission) {
            engine = chosen;
            attempts++;
            events = 0;
            final UpstreamState state = gateway.state(chosen);
            final InFlightRequest inFlight = state.assign("m", List.of(), 0, 0, 0, scheduler.nanos());
            attempt = new Attempt(state, inFlight, 0, 0, true, scheduler.nanos(), this);
            observer = guard.observe(attempt, admission);
            chosen.inFlight.add(this);
            if (!sound()) {
                crashingArrivalMillis.add(millis());
            }
            final Attempt sent = attempt;
            scheduler.schedule(MIN_PREFILL_MILLIS + random.nextLong(PREFILL_SPREAD_MILLIS), () -> begin(sent));
        }

        private void begin(Attempt sent) {
            if (sent != attempt || sent.ended()) {
                return;
            }
            attempt.markStarted(scheduler.nanos());
            if (sound()) {
                soundBegunAtFirstAttempt += attempts == 1 ? 1 : 0;
                soundBegun.merge(id, 1, Integer::sum);
                scheduler.schedule(EVENT_MILLIS, () -> deliver(sent));
            } else {
                final Engine crashing = engine;
                scheduler.schedule(CRASH_MILLIS, () -> {
                    if (crashing.up && crashing.inFlight.contains(this)) {
                        crashMillis.add(millis());
                        crashing.crash();
                    }
                });
            }
        }

        private void deliver(Attempt sent) {
            if (sent != attempt || sent.ended()) {
                return;
            }
            events++;
            observer.onEvents(events);
            if (events < EVENTS) {
                scheduler.schedule(EVENT_MILLIS, () -> deliver(sent));
            } else {
                engine.inFlight.remove(this);
                attempt.cancel();
                observer.onEnd(AttemptEnd.ANSWERED);
                end();
            }
        }

        private void onLost() {
            attempt.cancel();
            observer.onEnd(AttemptEnd.LOST);
            tryStart();
        }

        private void onChange() {
            if (attempt == null || attempt.ended() || attempt.answerStartNanos().isPresent()) {
                return;
            }
            final Admission.Outcome outcome = guard.admission().outcome();
            if (outcome == Admission.Outcome.TRIAL) {
                guard.beginTrial();
            } else if (outcome != Admission.Outcome.ALLOWED) {
                engine.inFlight.remove(this);
                attempt.cancel();
                observer.onEnd(AttemptEnd.CANCELLED);
                tryStart();
            }
        }

        private void end() {
            ended = true;
            guard.close();
        }

        @Override
        public boolean mayBeSent(Attempt opened) {
            return true;
        }

        @Override
        public void onResponseHead(Attempt responding) {}

        @Override
        public void onResponseBytes(Attempt receiving, byte[] bytes) {}

        @Override
        public void onResponseComplete(Attempt completed) {}

        @Override
        public void onAttemptFailed(Attempt failed, HttpRequestException error) {}
    }
}
