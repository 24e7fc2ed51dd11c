package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.KeyedFollower;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.RolloutStatus;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.control.UndecodableRecordException;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.rollout.RolloutCounts;
import org.masticpaddle.rollout.RouteCounts;
import org.masticpaddle.rollout.VersionRollout;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Runs the roll-outs that the operator orders, together with the other gateways.
 *
 * <p>Gateways agree through the log: each writes its counts under its own key, and a status is appended only at the end of
 * the stream that the writer has read, so that of two writers one fails and reads the other's. Invariant: a request goes to
 * a version by its session alone, so that all gateways choose alike. Runs on the event loop.
 */
final class RolloutCoordinator implements VersionRouter {
    /** Time for which a read of the status waits; a change of it is rare. */
    private static final Duration STATUS_WAIT = Duration.ofMillis(1_500);
    /** Pause between reads of the counts. */
    private static final Duration COUNTS_PAUSE = Duration.ofMillis(900);
    /** Pause between two writes of the own counts. */
    private static final long PUBLISH_NANOS = 900_000_000L;
    /** Pause between two tries to write a status, longer than an answer of the log takes. */
    private static final long STATUS_NANOS = 400_000_000L;
    /** Spread of the first write, so that the gateways do not all try at once. */
    private static final double FIRST_SPREAD_NANOS = 300e6;
    /** Factor by which an answer must exceed its expected time to count as slow. */
    private static final double SLOW_FACTOR = 2.5;
    /** Time beyond that factor, for the jitter of short answers. */
    private static final double SLOW_MILLIS = 50;

    private final String gateway;
    private final SharedLog shared;
    private final ControlCodec codec;
    private final UpstreamRegistry roster;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final Map<String, ActiveRollout> courses = new HashMap<>();
    private final Map<String, RolloutStatus> statuses = new HashMap<>();
    private Optional<KeyedFollower> statusFollower = Optional.empty();
    private Optional<KeyedFollower> countsFollower = Optional.empty();

    /**
     * Creates the duty.
     *
     * @param gateway name of this gateway and its life
     * @param shared the log
     * @param codec translation of its records
     * @param roster upstreams
     * @param scheduler time and timers of the event loop
     * @param random source of jitter
     * @param log log of decisions
     */
    RolloutCoordinator(
            String gateway,
            SharedLog shared,
            ControlCodec codec,
            UpstreamRegistry roster,
            Scheduler scheduler,
            UniformRandomProvider random,
            DecisionLog log) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.shared = Objects.requireNonNull(shared, "shared is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.roster = Objects.requireNonNull(roster, "roster is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /** Takes what the operator wrote about a roll-out. */
    void ordered(OperatorRecord decoded, long offset) {
        if (decoded instanceof OperatorRecord.RolloutOrder order) {
            final long now = scheduler.nanos();
            final VersionRollout move = new VersionRollout(order.service(), order.version(), offset, order.timeLimit(), now);
            courses.put(order.service(), new ActiveRollout(move, now + (long) (random.nextDouble() * FIRST_SPREAD_NANOS)));
            Optional.ofNullable(statuses.get(order.service()))
                    .filter(known -> known.order() == offset)
                    .ifPresent(known -> move.agree(known.progress()));
            write(move, "ordered");
            follow();
        } else if (decoded instanceof OperatorRecord.RolloutWithdrawn withdrawn) {
            courses.remove(withdrawn.service());
        }
    }

    private void follow() {
        if (statusFollower.isEmpty()) {
            statusFollower = Optional.of(new KeyedFollower(
                    shared, LogStream.STATUS, STATUS_WAIT, Duration.ZERO, scheduler, random, this::status));
            statusFollower.get().start();
        }
        if (countsFollower.isEmpty()) {
            countsFollower = Optional.of(new KeyedFollower(
                    shared, LogStream.ROLLOUT_COUNTS, Duration.ZERO, COUNTS_PAUSE, scheduler, random, this::counts));
            countsFollower.get().start();
        }
    }

    private void rest() {
        statusFollower.ifPresent(KeyedFollower::stop);
        countsFollower.ifPresent(KeyedFollower::stop);
        statusFollower = Optional.empty();
        countsFollower = Optional.empty();
    }

    private void status(KeyedRecord keyed) {
        if (keyed.tombstone()) {
            return;
        }
        try {
            final RolloutStatus status = codec.rolloutStatus(keyed);
            statuses.put(status.service(), status);
            final ActiveRollout course = courses.get(status.service());
            if (course != null && course.move.order() == status.order()) {
                final Optional<RolloutProgress> before = course.move.progress();
                course.move.agree(status.progress());
                if (!before.equals(course.move.progress())) {
                    write(course.move, "agreed");
                }
            }
        } catch (UndecodableRecordException e) {
            log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", e.getMessage());
        }
    }

    private void counts(KeyedRecord keyed) {
        if (keyed.tombstone() || keyed.key().equals(gateway)) {
            return;
        }
        try {
            final RolloutCounts counts = Json.decode(keyed.value(), RolloutCounts.class);
            final ActiveRollout course = courses.get(counts.service());
            if (course != null) {
                course.move.learned(keyed.key(), counts, scheduler.nanos());
            }
        } catch (MalformedMessageException e) {
            log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", e.getMessage());
        }
    }

    /** Takes the next step of each roll-out. Called about ten times a second. */
    void tick() {
        final long now = scheduler.nanos();
        boolean active = false;
        for (final ActiveRollout course : courses.values()) {
            final VersionRollout move = course.move;
            final boolean ended = move.progress().filter(RolloutProgress::ended).isPresent();
            active |= !ended;
            if (ended || !statusKnown()) {
                continue;
            }
            final int running = runningBefore(move);
            final double share = move.share();
            final Optional<RolloutProgress> wanted = move.step(running, now);
            if (share != move.share()) {
                write(move, "share");
            }
            wanted.ifPresent(progress -> propose(course, progress, now));
            publish(course, running, now);
        }
        if (!active && statusFollower.isPresent()) {
            rest();
        }
    }

    private int runningBefore(VersionRollout move) {
        return roster.all().stream()
                .filter(member -> member.upstream().service().equals(move.service())
                        && !member.upstream().version().equals(move.version()))
                .mapToInt(member -> member.inFlight())
                .sum();
    }

    private void propose(ActiveRollout course, RolloutProgress progress, long now) {
        final OptionalLong position =
                statusFollower.map(KeyedFollower::position).orElse(OptionalLong.empty());
        if (position.isEmpty() || now < course.nextStatusNanos) {
            return;
        }
        course.nextStatusNanos = now + STATUS_NANOS;
        final VersionRollout move = course.move;
        shared.append(
                        LogStream.STATUS,
                        codec.rolloutStatusKey(move.service()),
                        codec.rolloutStatus(new RolloutStatus(move.service(), move.version(), move.order(), progress)),
                        position)
                .whenComplete((offset, error) -> log.write(
                        Decision.ROLLOUT_CHANGED,
                        "service",
                        move.service(),
                        "version",
                        move.version(),
                        "step",
                        error == null ? "status written" : "status not written",
                        "progress",
                        progress,
                        "position",
                        position.getAsLong(),
                        "reason",
                        error == null ? null : error.getMessage()));
    }

    private void publish(ActiveRollout course, int running, long now) {
        if (now < course.nextCountsNanos) {
            return;
        }
        final RolloutCounts counts = course.move.counts(running, now);
        if (counts.equals(course.published)) {
            return;
        }
        course.nextCountsNanos = now + PUBLISH_NANOS;
        shared.append(LogStream.ROLLOUT_COUNTS, gateway, Json.encode(counts), OptionalLong.empty())
                .whenComplete((offset, error) -> {
                    if (error == null) {
                        course.published = counts;
                    }
                });
    }

    private void write(VersionRollout move, String step) {
        final RouteCounts total = move.total();
        log.write(
                Decision.ROLLOUT_CHANGED,
                "service",
                move.service(),
                "version",
                move.version(),
                "order",
                move.order(),
                "step",
                step,
                "share",
                move.share(),
                "progress",
                move.progress().orElse(null),
                "evidence",
                move.evidence(),
                "new_answers",
                total.after().requests(),
                "new_errors",
                total.after().errors(),
                "new_slow",
                total.after().slow(),
                "old_answers",
                total.before().requests(),
                "old_errors",
                total.before().errors(),
                "old_slow",
                total.before().slow());
    }

    @Override
    public Admission admit(String service, Optional<String> session, String requestId) {
        final ActiveRollout course = courses.get(service);
        if (course == null) {
            return Admission.ALL;
        }
        final VersionRollout move = course.move;
        final Predicate<Upstream> after = upstream -> upstream.version().equals(move.version());
        final Predicate<Upstream> before = after.negate();
        final Optional<RolloutProgress> ended = move.progress().filter(RolloutProgress::ended);
        if (ended.isPresent()) {
            return ended.get() == RolloutProgress.COMPLETED
                    ? new Admission(after, after)
                    : new Admission(before, before);
        }
        if (!statusKnown()) {
            return new Admission(before, upstream -> true);
        }
        final double point = (Hashing.hash64(session.orElse(requestId)) >>> 11) * 0x1.0p-53;
        if (point < move.share()) {
            return new Admission(after, upstream -> true);
        }
        return new Admission(before, move.share() > 0 ? upstream -> true : before);
    }

    @Override
    public void answered(Upstream upstream, String route, boolean sound, double millis, double expectedMillis) {
        final ActiveRollout course = courses.get(upstream.service());
        if (course != null) {
            course.move.answered(
                    upstream.version().equals(course.move.version()),
                    route,
                    sound,
                    millis > SLOW_FACTOR * expectedMillis + SLOW_MILLIS);
        }
    }

    /** Whether the status stream was listed, so that a status of an earlier life of this gateway is known. */
    private boolean statusKnown() {
        return statusFollower
                .map(KeyedFollower::position)
                .filter(OptionalLong::isPresent)
                .isPresent();
    }

    private static final class ActiveRollout {
        private final VersionRollout move;
        private long nextStatusNanos;
        private long nextCountsNanos;
        private RolloutCounts published;

        ActiveRollout(VersionRollout move, long nextStatusNanos) {
            this.move = move;
            this.nextStatusNanos = nextStatusNanos;
        }
    }
}
