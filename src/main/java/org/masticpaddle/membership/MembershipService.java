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
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LoadReport;

/**
 * Keeps the view of instances current: reads the instance list, probes the members of the subsets that were not heard
 * from, folds what the process observes, and publishes snapshots.
 *
 * <p>Invariants: one duty thread owns the view; probes stay within the bytes a second of the settings. Thread-safe.
 */
public final class MembershipService implements Service {
    private static final Logger LOGGER = LogManager.getLogger(MembershipService.class);
    private static final String STATUS_PATH = "/internal/status";
    private static final int RING_SIZE = 1024;
    private static final long TICK_MILLIS = 50;
    private static final int MAX_BACKOFF_SHIFT = 3;
    // A poll whose end was lost because the ring was full is given up after this time.
    private static final long POLL_EXPIRY_MILLIS = 30_000;
    private static final int HEADER_BYTES = 320;
    private static final int INSTANCE_BYTES = 200;

    private final MembershipSettings settings;
    private final InstanceList list;
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
     * @param settings settings
     * @param list instance list
     * @param client HTTP client for probes
     * @param random source of the jitter, used by the duty's thread only
     * @param clock time in milliseconds, which never goes back
     */
    public MembershipService(
            MembershipSettings settings,
            InstanceList list,
            HttpClient client,
            UniformRandomProvider random,
            LongSupplier clock) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.list = Objects.requireNonNull(list, "list is null");
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
     * @return the snapshot
     */
    public MembershipSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Adds a receiver of snapshots.
     *
     * @param listener called on the duty's thread after each change; must not block
     */
    public void subscribe(Consumer<MembershipSnapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Folds what the process learned about an instance, for example from an answer.
     *
     * @param id identifier of the instance
     * @param observation what was learned
     * @return {@code false} if too many messages wait, in which case the observation is dropped
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

    /** {@code bytes} is -1 if the observation does not come from a probe. */
    private record Observed(String id, Observation observation, int bytes) implements Message {}

    /** Owner of the view on the duty's thread. */
    private final class MembershipHandler implements Duty.Handler<Message> {
        private MembershipState folder;
        private ProbeSchedule schedule;
        private long nextPollMillis;
        private long pollStartedMillis;
        private boolean polling;
        private int failedPolls;

        @Override
        public void handle(Message message) {
            final long now = clock.getAsLong();
            begin(now);
            if (message instanceof PollSucceeded polled) {
                polled(polled.changes, now);
            } else if (message instanceof PollFailed failed) {
                pollFailed(failed.reason, now);
            } else if (message instanceof Observed observed) {
                if (observed.bytes >= 0) {
                    schedule.ended(observed.id, observed.bytes);
                }
                folder.observe(observed.id, observed.observation, now);
            }
            publish();
        }

        @Override
        public void tick() {
            final long now = clock.getAsLong();
            begin(now);
            folder.expire(now);
            if (polling && now - pollStartedMillis > POLL_EXPIRY_MILLIS) {
                polling = false;
            }
            if (!polling && now >= nextPollMillis) {
                poll(now);
            }
            schedule.take(folder.members(), now).forEach(this::probe);
            publish();
        }

        private void begin(long now) {
            if (folder == null) {
                folder = new MembershipState(settings);
                schedule = new ProbeSchedule(settings, now);
                nextPollMillis = now;
            }
        }

        private void poll(long now) {
            polling = true;
            pollStartedMillis = now;
            polls.increment();
            list.changes(folder.listVersion()).whenComplete((changes, error) -> {
                if (error != null) {
                    duty.offer(new PollFailed(String.valueOf(error.getMessage())));
                } else {
                    duty.offer(new PollSucceeded(changes));
                }
            });
        }

        private void polled(InstanceChanges changes, long now) {
            polling = false;
            failedPolls = 0;
            nextPollMillis = now + jitter(settings.pollMillis());
            listBytes.add(
                    HEADER_BYTES + (long) INSTANCE_BYTES * changes.instances().size());
            folder.apply(changes, now);
        }

        private void pollFailed(String reason, long now) {
            polling = false;
            failedPolls++;
            pollFailures.increment();
            nextPollMillis = now + jitter(settings.pollMillis() << Math.min(failedPolls, MAX_BACKOFF_SHIFT));
            LOGGER.warn("the instance list cannot be read: {}", reason);
        }

        /** Spreads a time by a fifth either way, so that instances started together do not poll together. */
        private long jitter(long millis) {
            return (long) (millis * (0.8 + 0.4 * random.nextDouble()));
        }

        private void probe(Member member) {
            final Instance instance = member.instance();
            final HttpRequest call =
                    HttpRequest.get(instance.address(), STATUS_PATH, Duration.ofMillis(settings.probeTimeoutMillis()));
            probes.increment();
            // After a failure the pooled connection may have gone silent.
            client.send(member.failures() > 0 ? call.onFreshConnection() : call)
                    .thenApply(this::observed)
                    .exceptionally(error -> failed())
                    .thenAccept(result -> duty.offer(new Observed(instance.id(), result.observation, result.bytes)));
        }

        private Observed observed(HttpResponse answer) {
            if (!answer.successful()) {
                return failed();
            }
            final LoadReport report = Json.decode(answer.body(), LoadReport.class);
            final int bytes = HEADER_BYTES + answer.body().length;
            probeBytes.add(bytes);
            return new Observed("", new Observation.Reported(report), bytes);
        }

        private Observed failed() {
            probeFailures.increment();
            probeBytes.add(HEADER_BYTES);
            return new Observed("", new Observation.Unreachable(), HEADER_BYTES);
        }

        private void publish() {
            folder.takeSnapshot().ifPresent(next -> {
                snapshot = next;
                listeners.forEach(listener -> listener.accept(next));
            });
        }
    }
}
