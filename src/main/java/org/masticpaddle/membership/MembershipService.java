package org.masticpaddle.membership;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.platform.InstanceList;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LoadReport;

/**
 * Keeps the view of instances up to date: polls the instance list, probes subset members that have not reported for the
 * probe interval, applies observations, and publishes snapshots.
 *
 * <p>Invariants: one duty thread owns the view; probes stay within the configured bytes per second. Thread-safe.
 */
public final class MembershipService implements Service {
    private static final Logger LOGGER = LogManager.getLogger(MembershipService.class);
    private static final String STATUS_PATH = "/internal/status";
    private static final int RING_SIZE = 1024;
    private static final long TICK_MILLIS = 50;
    // Limits the poll interval after failures to 8 times the configured one.
    private static final int MAX_BACKOFF_SHIFT = 3;
    // Abandons a poll whose result was dropped because the duty's ring was full.
    private static final long POLL_EXPIRY_MILLIS = 30_000;
    private static final int ESTIMATED_HEADER_BYTES = 320;
    private static final int ESTIMATED_INSTANCE_BYTES = 200;

    private final MembershipSettings settings;
    private final InstanceList instanceList;
    private final HttpClient client;
    private final UniformRandomProvider random;
    private final LongSupplier clock;
    private final Duty<Message> duty = new Duty<>("membership", RING_SIZE, TICK_MILLIS, new MembershipHandler());
    private final List<Consumer<MembershipSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final LongAdder polls = new LongAdder();
    private final LongAdder pollFailures = new LongAdder();
    private final LongAdder probes = new LongAdder();
    private final LongAdder probeFailures = new LongAdder();
    private final LongAdder probeBytes = new LongAdder();
    private final LongAdder listBytes = new LongAdder();
    private volatile MembershipSnapshot snapshot = MembershipSnapshot.empty();

    /**
     * Creates a service that is not started.
     *
     * @param settings identity of this process, size of its subsets, intervals of polls and probes
     * @param instanceList instance list
     * @param client HTTP client for probes
     * @param random source of the jitter, used by the duty's thread only
     * @param clock monotonic time in milliseconds
     */
    public MembershipService(
            MembershipSettings settings,
            InstanceList instanceList,
            HttpClient client,
            UniformRandomProvider random,
            LongSupplier clock) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.instanceList = Objects.requireNonNull(instanceList, "instanceList is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    @Override
    public void start() {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /**
     * Returns the newest snapshot.
     *
     * @return the same instance until something changes; no members before the first list response
     */
    public MembershipSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Registers a listener for new snapshots.
     *
     * @param listener called on the duty's thread after each change; must not block
     */
    public void subscribe(Consumer<MembershipSnapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Queues an observation of an instance, for example a load report received with a response.
     *
     * @param id identifier of the instance
     * @param observation load report, draining, rejection or failure, applied later on the duty's thread
     * @return {@code false} if the queue is full and the observation was dropped
     */
    public boolean observe(String id, Observation observation) {
        return duty.offer(new Observed(id, observation, -1));
    }

    /**
     * Returns the counters.
     *
     * @return counters since the start
     */
    public MembershipCounters counters() {
        return new MembershipCounters(
                polls.sum(), pollFailures.sum(), probes.sum(), probeFailures.sum(), probeBytes.sum(), listBytes.sum());
    }

    private sealed interface Message {}

    private record PollSucceeded(InstanceChanges changes) implements Message {}

    private record PollFailed(String reason) implements Message {}

    /** An observation; {@code bytes} is the size of the probe that made it, or -1 if it does not come from a probe. */
    private record Observed(String id, Observation observation, int bytes) implements Message {}

    /** Owns the membership state. Called on the duty's thread only. */
    private final class MembershipHandler implements Duty.Handler<Message> {
        private MembershipState state;
        private ProbeSchedule schedule;
        private long nextPollMillis;
        private long pollStartedMillis;
        private boolean polling;
        private int consecutivePollFailures;

        @Override
        public void handle(Message message) {
            final long now = clock.getAsLong();
            initialize(now);
            if (message instanceof PollSucceeded polled) {
                pollSucceeded(polled.changes, now);
            } else if (message instanceof PollFailed failed) {
                pollFailed(failed.reason, now);
            } else if (message instanceof Observed observed) {
                if (observed.bytes >= 0) {
                    schedule.probeEnded(observed.id, observed.bytes);
                }
                state.observe(observed.id, observed.observation, now);
            }
            publish();
        }

        @Override
        public void tick() {
            final long now = clock.getAsLong();
            initialize(now);
            state.expire(now);
            if (polling && now - pollStartedMillis > POLL_EXPIRY_MILLIS) {
                polling = false;
            }
            if (!polling && now >= nextPollMillis) {
                poll(now);
            }
            schedule.startDueProbes(state.members(), now).forEach(this::probe);
            publish();
        }

        private void initialize(long now) {
            if (state == null) {
                state = new MembershipState(settings);
                schedule = new ProbeSchedule(settings, now);
                nextPollMillis = now;
            }
        }

        private void poll(long now) {
            polling = true;
            pollStartedMillis = now;
            polls.increment();
            instanceList.changes(state.listVersion()).whenComplete((changes, error) -> {
                if (error != null) {
                    duty.offer(new PollFailed(String.valueOf(error.getMessage())));
                } else {
                    duty.offer(new PollSucceeded(changes));
                }
            });
        }

        private void pollSucceeded(InstanceChanges changes, long now) {
            polling = false;
            consecutivePollFailures = 0;
            nextPollMillis = now + jitter(settings.pollIntervalMillis());
            listBytes.add(ESTIMATED_HEADER_BYTES
                    + (long) ESTIMATED_INSTANCE_BYTES * changes.instances().size());
            state.apply(changes, now);
        }

        private void pollFailed(String reason, long now) {
            polling = false;
            consecutivePollFailures++;
            pollFailures.increment();
            nextPollMillis =
                    now + jitter(settings.pollIntervalMillis() << Math.min(consecutivePollFailures, MAX_BACKOFF_SHIFT));
            LOGGER.warn("failed to poll the instance list: {}", reason);
        }

        /** Adds jitter of 20% either way, so that processes started together do not poll at the same time. */
        private long jitter(long millis) {
            return (long) (millis * (0.8 + 0.4 * random.nextDouble()));
        }

        private void probe(Member member) {
            final Instance instance = member.instance();
            final HttpRequest request =
                    HttpRequest.get(instance.address(), STATUS_PATH, Duration.ofMillis(settings.probeTimeoutMillis()));
            probes.increment();
            // After a failure the pooled connection may be stalled.
            client.send(member.failures() > 0 ? request.onFreshConnection() : request)
                    .thenApply(this::readReport)
                    .exceptionally(error -> probeFailed())
                    .thenAccept(result -> duty.offer(new Observed(instance.id(), result.observation, result.bytes)));
        }

        private Observed readReport(HttpResponse response) {
            if (!response.successful()) {
                return probeFailed();
            }
            final LoadReport report = Json.decode(response.body(), LoadReport.class);
            final int bytes = ESTIMATED_HEADER_BYTES + response.body().length;
            probeBytes.add(bytes);
            return new Observed("", new Observation.Reported(report), bytes);
        }

        private Observed probeFailed() {
            probeFailures.increment();
            probeBytes.add(ESTIMATED_HEADER_BYTES);
            return new Observed("", new Observation.Unreachable(), ESTIMATED_HEADER_BYTES);
        }

        private void publish() {
            state.takeSnapshot().ifPresent(next -> {
                snapshot = next;
                listeners.forEach(listener -> listener.accept(next));
            });
        }
    }
}
