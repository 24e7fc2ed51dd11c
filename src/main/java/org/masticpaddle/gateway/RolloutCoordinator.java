package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.rollout.ActiveSessions;
import org.masticpaddle.rollout.AnswerTiming;
import org.masticpaddle.rollout.EstablishedVersions;
import org.masticpaddle.rollout.GatewayActivity;
import org.masticpaddle.rollout.RolloutCounts;
import org.masticpaddle.rollout.RouteCounts;
import org.masticpaddle.rollout.SessionVersions;
import org.masticpaddle.rollout.VersionRollout;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Runs the rollouts that the operator orders, in agreement with the other gateways.
 *
 * <p>Gateways agree through the log: each publishes its counts under its own key, and a status is appended only if the
 * writer has read the stream up to its end (compare-and-append), so that of two concurrent writers one fails and reads the
 * status of the other. Invariants: an active session stays on its version, except that it may move to the new version in
 * the second half of the time limit and leaves it when it is found bad; the version of any other request depends only on
 * its session, or its identifier if it has none, and on the share of the new version, so that all gateways choose alike.
 * Runs on the event loop.
 */
final class RolloutCoordinator implements VersionRouter {
    /** Long-poll time of reads of the status, which rarely changes. */
    private static final Duration STATUS_LONG_POLL = Duration.ofMillis(1_500);
    /** Interval between reads of the other gateways' counts. */
    private static final Duration COUNTS_POLL_INTERVAL = Duration.ofMillis(900);
    /** Shortest interval between two writes of this gateway's counts. */
    private static final long COUNTS_PUBLISH_INTERVAL_NANOS = 900_000_000L;
    /** Delay of a report of sessions before the canary starts, so that one write reports several. */
    private static final long SESSION_REPORT_DELAY_NANOS = 200_000_000L;
    /** Interval between two attempts to append a status; longer than the log takes to respond. */
    private static final long STATUS_RETRY_INTERVAL_NANOS = 400_000_000L;
    /** Maximum random delay of the first status, so that the gateways do not all append at once. */
    private static final double FIRST_STATUS_JITTER_NANOS = 300e6;

    private final String gatewayId;
    private final SharedLog sharedLog;
    private final ControlCodec codec;
    private final GatewayState state;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final Map<String, ActiveSessions> sessionsByService = new HashMap<>();
    private final Map<String, EstablishedVersions> establishedByService = new HashMap<>();
    private final Map<String, ActiveRollout> rollouts = new HashMap<>();
    private final Map<String, RolloutStatus> statuses = new HashMap<>();
    private Optional<KeyedFollower> statusFollower = Optional.empty();
    private Optional<KeyedFollower> countsFollower = Optional.empty();

    /**
     * Creates a coordinator without rollouts.
     *
     * @param gatewayId name and incarnation of this gateway, the key of its counts
     * @param sharedLog log through which the gateways agree
     * @param codec encoder and decoder of the status records
     * @param state upstreams, timeout of sessions and permitted exposure to a bad version
     * @param scheduler clock and timers of the event loop
     * @param random source of the jitter of writes and retries
     * @param log decision log
     */
    RolloutCoordinator(
            String gatewayId,
            SharedLog sharedLog,
            ControlCodec codec,
            GatewayState state,
            Scheduler scheduler,
            UniformRandomProvider random,
            DecisionLog log) {
        this.gatewayId = Objects.requireNonNull(gatewayId, "gatewayId is null");
        this.sharedLog = Objects.requireNonNull(sharedLog, "sharedLog is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /**
     * Starts the rollout that an order requests, or drops the rollout of the service if its order was withdrawn.
     *
     * @param operatorRecord record of the operators' stream; other kinds are ignored
     * @param offset offset of the record, which identifies the order
     */
    void onOperatorRecord(OperatorRecord operatorRecord, long offset) {
        if (operatorRecord instanceof OperatorRecord.RolloutOrder order) {
            final long now = scheduler.nanos();
            final VersionRollout rollout = new VersionRollout(
                    order.service(),
                    order.version(),
                    offset,
                    order.timeLimit(),
                    state.bounds().exposureShare(),
                    now);
            final ActiveRollout active =
                    new ActiveRollout(rollout, now + (long) (random.nextDouble() * FIRST_STATUS_JITTER_NANOS));
            rollouts.put(order.service(), active);
            sessions(order.service())
                    .versions(now)
                    .forEach((session, version) -> active.recordSession(session, version, now));
            Optional.ofNullable(statuses.get(order.service()))
                    .filter(status -> status.order() == offset)
                    .ifPresent(status -> rollout.applyProgress(status.progress()));
            logRollout(rollout, "ordered");
            startFollowers();
        } else if (operatorRecord instanceof OperatorRecord.RolloutWithdrawn withdrawn) {
            final ActiveRollout removed = rollouts.remove(withdrawn.service());
            if (removed != null && removed.rollout.progress().equals(Optional.of(RolloutProgress.ROLLED_BACK))) {
                established(withdrawn.service()).exclude(removed.rollout.version());
            }
        }
    }

    private void startFollowers() {
        if (statusFollower.isEmpty()) {
            statusFollower = Optional.of(new KeyedFollower(
                    sharedLog, LogStream.STATUS, STATUS_LONG_POLL, Duration.ZERO, scheduler, random, this::onStatus));
            statusFollower.get().start();
        }
        if (countsFollower.isEmpty()) {
            countsFollower = Optional.of(new KeyedFollower(
                    sharedLog,
                    LogStream.ROLLOUT_COUNTS,
                    Duration.ZERO,
                    COUNTS_POLL_INTERVAL,
                    scheduler,
                    random,
                    this::onCounts));
            countsFollower.get().start();
        }
    }

    private void stopFollowers() {
        statusFollower.ifPresent(KeyedFollower::stop);
        countsFollower.ifPresent(KeyedFollower::stop);
        statusFollower = Optional.empty();
        countsFollower = Optional.empty();
    }

    private void onStatus(KeyedRecord keyed) {
        if (keyed.tombstone()) {
            return;
        }
        try {
            final RolloutStatus status = codec.rolloutStatus(keyed);
            statuses.put(status.service(), status);
            final ActiveRollout active = rollouts.get(status.service());
            if (active != null && active.rollout.order() == status.order()) {
                final Optional<RolloutProgress> progressBefore = active.rollout.progress();
                active.rollout.applyProgress(status.progress());
                if (!progressBefore.equals(active.rollout.progress())) {
                    logRollout(active.rollout, "agreed");
                }
            }
        } catch (UndecodableRecordException e) {
            log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", e.getMessage());
        }
    }

    private void onCounts(KeyedRecord keyed) {
        if (keyed.tombstone() || keyed.key().equals(gatewayId)) {
            return;
        }
        try {
            final RolloutCounts counts = Json.decode(keyed.value(), RolloutCounts.class);
            final ActiveRollout active = rollouts.get(counts.service());
            if (active != null) {
                active.rollout.mergeCounts(keyed.key(), counts, scheduler.nanos());
                if (counts.order() == active.rollout.order()) {
                    active.sessions.merge(counts.sessions());
                }
            }
        } catch (MalformedMessageException e) {
            log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", e.getMessage());
        }
    }

    /** Advances each rollout, proposes its progress and publishes this gateway's counts. Called about ten times a second. */
    void tick() {
        final long now = scheduler.nanos();
        sessionsByService.values().forEach(sessions -> sessions.removeInactive(now));
        state.registry().all().stream()
                .map(UpstreamState::upstream)
                .collect(Collectors.groupingBy(
                        Upstream::service, Collectors.mapping(Upstream::version, Collectors.toSet())))
                .forEach((service, versions) -> established(service).observe(versions, now));
        boolean unfinished = false;
        for (final ActiveRollout active : rollouts.values()) {
            final VersionRollout rollout = active.rollout;
            unfinished |= !active.ended();
            if (active.ended() || !progressKnown()) {
                continue;
            }
            List.copyOf(active.observers).forEach(observer -> observer.countIfJudged(now));
            final GatewayActivity activity =
                    new GatewayActivity(runningOnOldVersions(rollout), active.lateOnNewVersion(now));
            final double scheduledShare = rollout.scheduledShare();
            final Optional<RolloutProgress> proposed = rollout.step(activity, now);
            if (scheduledShare != rollout.scheduledShare()) {
                active.nextCountsNanos = now;
            }
            if (active.loggedShare != rollout.share(now)) {
                active.loggedShare = rollout.share(now);
                logRollout(rollout, "share");
            }
            proposed.ifPresent(progress -> proposeProgress(active, progress, now));
            publishCounts(active, activity, now);
        }
        if (!unfinished && statusFollower.isPresent()) {
            stopFollowers();
        }
    }

    private int runningOnOldVersions(VersionRollout rollout) {
        return state.registry().all().stream()
                .filter(member -> member.upstream().service().equals(rollout.service())
                        && !member.upstream().version().equals(rollout.version()))
                .mapToInt(member -> member.inFlight())
                .sum();
    }

    private void proposeProgress(ActiveRollout active, RolloutProgress progress, long now) {
        final OptionalLong position =
                statusFollower.map(KeyedFollower::position).orElse(OptionalLong.empty());
        if (position.isEmpty() || now < active.nextStatusNanos) {
            return;
        }
        active.nextStatusNanos = now + STATUS_RETRY_INTERVAL_NANOS;
        final VersionRollout rollout = active.rollout;
        sharedLog
                .append(
                        LogStream.STATUS,
                        codec.rolloutStatusKey(rollout.service()),
                        codec.rolloutStatus(
                                new RolloutStatus(rollout.service(), rollout.version(), rollout.order(), progress)),
                        position)
                .whenComplete((offset, error) -> log.write(
                        Decision.ROLLOUT_CHANGED,
                        "service",
                        rollout.service(),
                        "version",
                        rollout.version(),
                        "step",
                        error == null ? "status written" : "status not written",
                        "progress",
                        progress,
                        "position",
                        position.getAsLong(),
                        "reason",
                        error == null ? null : error.getMessage()));
    }

    private void publishCounts(ActiveRollout active, GatewayActivity activity, long now) {
        if (now < active.nextCountsNanos) {
            return;
        }
        final VersionRollout rollout = active.rollout;
        final RolloutCounts counts = rollout.counts(activity, active.sessions.report(), now);
        if (counts.equals(active.publishedCounts)) {
            return;
        }
        active.nextCountsNanos = now + COUNTS_PUBLISH_INTERVAL_NANOS;
        sharedLog
                .append(LogStream.ROLLOUT_COUNTS, gatewayId, Json.encode(counts), OptionalLong.empty())
                .whenComplete((offset, error) -> {
                    if (error == null) {
                        active.publishedCounts = counts;
                    }
                });
    }

    private void logRollout(VersionRollout rollout, String step) {
        final RouteCounts totals = rollout.totals();
        log.write(
                Decision.ROLLOUT_CHANGED,
                "service",
                rollout.service(),
                "version",
                rollout.version(),
                "order",
                rollout.order(),
                "step",
                step,
                "share",
                rollout.share(scheduler.nanos()),
                "progress",
                rollout.progress().orElse(null),
                "evidence",
                rollout.evidence(),
                "new_answers",
                totals.after().requests(),
                "new_errors",
                totals.after().errors(),
                "new_slow",
                totals.after().slow(),
                "old_answers",
                totals.before().requests(),
                "old_errors",
                totals.before().errors(),
                "old_slow",
                totals.before().slow());
    }

    @Override
    public EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId) {
        final long now = scheduler.nanos();
        final Predicate<Upstream> all = upstream -> true;
        final ActiveRollout active = rollouts.get(service);
        if (active == null) {
            final EstablishedVersions establishedVersions = established(service);
            final Predicate<Upstream> established = upstream -> establishedVersions.contains(upstream.version(), now);
            return new EligibleUpstreams(established, established, all, Assignment.NO_ROLLOUT, 0);
        }
        final VersionRollout rollout = active.rollout;
        final double share = rollout.share(now);
        final Predicate<Upstream> newVersion = upstream -> upstream.version().equals(rollout.version());
        final Predicate<Upstream> oldVersions = newVersion.negate();
        if (active.ended()) {
            final Predicate<Upstream> remaining = share > 0 ? newVersion : oldVersions;
            return new EligibleUpstreams(remaining, remaining, remaining, Assignment.ROLLOUT_ENDED, share);
        }
        if (!progressKnown()) {
            return new EligibleUpstreams(oldVersions, oldVersions, all, Assignment.PROGRESS_UNKNOWN, share);
        }
        if (rollout.halted()) {
            return new EligibleUpstreams(oldVersions, oldVersions, oldVersions, Assignment.OLD_SHARE, share);
        }
        final Optional<Boolean> onNewVersion = session.flatMap(active.sessions::staysOnNewVersion);
        final Predicate<Upstream> canaries = canaries(rollout, share);
        if (onNewVersion.isPresent() && onNewVersion.get()) {
            return new EligibleUpstreams(canaries, newVersion, all, Assignment.SESSION_ON_NEW, share);
        }
        if (onNewVersion.isPresent() && rollout.keepsSessionsOnOldVersion(now)) {
            return new EligibleUpstreams(oldVersions, oldVersions, all, Assignment.SESSION_ON_OLD, share);
        }
        if (SessionVersions.fraction(session.orElse(requestId)) < share) {
            return new EligibleUpstreams(canaries, all, all, Assignment.NEW_SHARE, share);
        }
        return new EligibleUpstreams(
                oldVersions,
                rollout.keepsSessionsOnOldVersion(now) ? oldVersions : all,
                all,
                Assignment.OLD_SHARE,
                share);
    }

    /**
     * Returns the upstreams of the new version that the share of the sessions is sent to: as many that each gets about the load
     * of an old one. On idle upstreams a slow version answers as fast as a sound one under load.
     */
    private Predicate<Upstream> canaries(VersionRollout rollout, double share) {
        final List<String> ids = state.registry().members(rollout.service()).stream()
                .map(UpstreamState::upstream)
                .filter(upstream -> upstream.version().equals(rollout.version()))
                .map(Upstream::id)
                .sorted(Comparator.comparingLong(Hashing::hash64).thenComparing(Comparator.naturalOrder()))
                .toList();
        final Set<String> chosen = Set.copyOf(ids.subList(0, (int) Math.ceil(share * ids.size())));
        return upstream -> chosen.contains(upstream.id());
    }

    private ActiveSessions sessions(String service) {
        return sessionsByService.computeIfAbsent(
                service, name -> new ActiveSessions(state.bounds().session()));
    }

    private EstablishedVersions established(String service) {
        return establishedByService.computeIfAbsent(service, name -> new EstablishedVersions());
    }

    @Override
    public AttemptObserver attemptSent(SentAttempt attempt) {
        final Upstream upstream = attempt.upstream();
        final long now = scheduler.nanos();
        final Optional<ActiveRollout> rollout =
                Optional.ofNullable(rollouts.get(upstream.service())).filter(active -> !active.ended());
        attempt.session().ifPresent(session -> {
            sessions(upstream.service()).begin(session, upstream.version());
            rollout.ifPresent(active -> active.recordSession(session, upstream.version(), now));
        });
        final Observer observer = new Observer(attempt, rollout, now);
        rollout.ifPresent(active -> active.observers.add(observer));
        return observer;
    }

    @Override
    public boolean updatesEstimates(Upstream upstream) {
        return Optional.ofNullable(rollouts.get(upstream.service()))
                .filter(active -> !active.ended())
                .map(active -> active.rollout)
                .map(rollout -> !upstream.version().equals(rollout.version())
                        && rollout.oldVersionsFullyLoaded(scheduler.nanos()))
                .orElse(true);
    }

    /**
     * Returns whether the status and the counts of the other gateways were listed, so that what they have decided before
     * this gateway started is known. Always true if no rollout is in progress.
     */
    boolean progressKnown() {
        return Stream.of(statusFollower, countsFollower)
                .flatMap(Optional::stream)
                .allMatch(follower -> follower.position().isPresent());
    }

    /** Counts an attempt as soon as it is known whether it is slow, and each failure. */
    private final class Observer implements AttemptObserver {
        private final SentAttempt attempt;
        private final Optional<ActiveRollout> rollout;
        private final AnswerTiming timing;
        private boolean counted;

        Observer(SentAttempt attempt, Optional<ActiveRollout> rollout, long sentNanos) {
            this.attempt = Objects.requireNonNull(attempt, "attempt is null");
            this.rollout = Objects.requireNonNull(rollout, "rollout is null");
            timing = new AnswerTiming(sentNanos, attempt.expectedMillis(), attempt.expectedEventMillis());
        }

        @Override
        public void onEvents(int events) {
            final long now = scheduler.nanos();
            timing.onEvents(events, now);
            countIfJudged(now);
        }

        @Override
        public void onEnd(AttemptEnd end) {
            final long now = scheduler.nanos();
            attempt.session()
                    .ifPresent(session -> sessions(attempt.upstream().service()).end(session, now));
            rollout.ifPresent(active -> active.observers.remove(this));
            final boolean slow = timing.pace(now) == AnswerTiming.Pace.SLOW;
            if (end == AttemptEnd.FAILED) {
                count(false, slow, now);
            } else if (end == AttemptEnd.ANSWERED) {
                countOnce(slow, now);
            } else if (end == AttemptEnd.CANCELLED) {
                countIfJudged(now);
            }
        }

        void countIfJudged(long now) {
            final AnswerTiming.Pace pace = timing.pace(now);
            if (pace == AnswerTiming.Pace.SLOW || pace == AnswerTiming.Pace.ON_TIME) {
                countOnce(pace == AnswerTiming.Pace.SLOW, now);
            }
        }

        boolean lateOnNewVersion(long now) {
            return !counted && onNewVersion() && timing.pace(now) == AnswerTiming.Pace.LATE;
        }

        private boolean onNewVersion() {
            return rollout.filter(active -> attempt.upstream().version().equals(active.rollout.version()))
                    .isPresent();
        }

        private void countOnce(boolean slow, long now) {
            if (!counted) {
                count(true, slow, now);
            }
        }

        private void count(boolean successful, boolean slow, long now) {
            counted = true;
            if (rollout.filter(active -> !active.ended()).isEmpty()) {
                return;
            }
            rollout.get().rollout.recordAnswer(onNewVersion(), attempt.route(), successful, slow);
            log.write(
                    Decision.ANSWER_OBSERVED,
                    "request",
                    attempt.requestId(),
                    "service",
                    attempt.upstream().service(),
                    "route",
                    attempt.route(),
                    "version",
                    attempt.upstream().version(),
                    "successful",
                    successful,
                    "slow",
                    slow,
                    "events",
                    timing.events(),
                    "ms",
                    timing.millis(now),
                    "expected_ms",
                    attempt.expectedMillis(),
                    "expected_event_ms",
                    attempt.expectedEventMillis());
        }
    }

    /** A rollout whose order was not withdrawn, with the times of the next writes about it. */
    private static final class ActiveRollout {
        private final VersionRollout rollout;
        private final Set<Observer> observers = new LinkedHashSet<>();
        private final SessionVersions sessions = new SessionVersions();
        private long nextStatusNanos;
        private long nextCountsNanos;
        private RolloutCounts publishedCounts;
        private double loggedShare;

        ActiveRollout(VersionRollout rollout, long nextStatusNanos) {
            this.rollout = rollout;
            this.nextStatusNanos = nextStatusNanos;
        }

        /** Records the version of a session. Before the canary starts, the other gateways are told at once. */
        void recordSession(String session, String version, long now) {
            final boolean newVersion = version.equals(rollout.version());
            if ((newVersion || rollout.keepsSessionsOnOldVersion(now))
                    && sessions.record(session, newVersion, rollout.scheduledShare())
                    && rollout.share(now) == 0) {
                nextCountsNanos = Math.min(nextCountsNanos, now + SESSION_REPORT_DELAY_NANOS);
            }
        }

        int lateOnNewVersion(long now) {
            return (int) observers.stream()
                    .filter(observer -> observer.lateOnNewVersion(now))
                    .count();
        }

        boolean ended() {
            return rollout.progress().filter(RolloutProgress::ended).isPresent();
        }
    }
}
