package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.HistoryChange;
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
import org.masticpaddle.rollout.EstablishedVersions;
import org.masticpaddle.rollout.GatewayActivity;
import org.masticpaddle.rollout.RolloutCounts;
import org.masticpaddle.rollout.RouteCounts;
import org.masticpaddle.rollout.VersionRollout;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Runs the rollouts that the operator orders, in agreement with the other gateways.
 *
 * <p>Gateways agree through the log: each publishes its counts under its own key, and a status is appended only if the
 * writer has read the stream up to its end (compare-and-append), so that of two concurrent writers one fails and reads the
 * status of the other. Invariants: an active session stays on its version, except that it may move to the new version in
 * the second half of the time limit and leaves it when it is found bad; the version of any other request depends only on
 * its session, or its identifier if it has none, and on the share of the new version, so that all gateways choose alike; a
 * rollout goes on where it was when the log is restored and the operator writes its order again. Runs on the event loop.
 */
final class RolloutCoordinator implements VersionRouter {
    /** Pause between reads of the other gateways' counts before the canary starts, by when all have to know the active sessions. */
    private static final Duration EARLY_COUNTS_PAUSE = Duration.ofMillis(900);
    /**
     * Pause from then on. A notice of a stage is known in time: the write and the read of a slow log, 250 ms each, a period of the
     * tick and the pause take 2 s.
     */
    private static final Duration COUNTS_PAUSE = Duration.ofMillis(1_400);
    /** Pause while the counts can neither change the share nor end the rollout. */
    private static final Duration CALM_COUNTS_PAUSE = COUNTS_PAUSE.multipliedBy(2);
    /** Interval between two writes of this gateway's counts. */
    private static final long COUNTS_PUBLISH_INTERVAL_NANOS = 1_800_000_000L;
    /** Interval between two writes if the counts hold further evidence against the new version. */
    private static final long BAD_COUNTS_PUBLISH_INTERVAL_NANOS = 900_000_000L;
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
    private final RestoredOrders restoredOrders = new RestoredOrders();
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
            final Optional<ActiveRollout> present = Optional.ofNullable(rollouts.get(order.service()));
            final RestoredOrders.Effect effect = restoredOrders.onOrder(
                    order, offset, present.map(active -> active.rollout().version()));
            if (effect == RestoredOrders.Effect.CONTINUE) {
                continueRollout(present.orElseThrow(), offset);
            } else if (effect == RestoredOrders.Effect.START) {
                startRollout(order, offset);
            }
        } else if (operatorRecord instanceof OperatorRecord.RolloutWithdrawn withdrawn) {
            restoredOrders.onWithdrawal(withdrawn.service());
            final ActiveRollout removed = rollouts.remove(withdrawn.service());
            if (removed != null && removed.rollout().progress().equals(Optional.of(RolloutProgress.ROLLED_BACK))) {
                established(withdrawn.service()).exclude(removed.rollout().version());
            }
        }
    }

    private void startRollout(OperatorRecord.RolloutOrder order, long offset) {
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
                .filter(status -> concerns(status, rollout))
                .ifPresent(status -> rollout.applyProgress(status.progress()));
        logRollout(rollout, "ordered");
        startFollowers();
    }

    private void continueRollout(ActiveRollout active, long offset) {
        active.rollout().reidentify(offset);
        active.recordStatusLost();
        logRollout(active.rollout(), "ordered again");
        startFollowers();
    }

    private static boolean concerns(RolloutStatus status, VersionRollout rollout) {
        return status.order() == rollout.order() && status.version().equals(rollout.version());
    }

    /** Records that the operators' stream has begun another history, in which the orders get other offsets. */
    void onHistoryReplaced() {
        restoredOrders.onHistoryReplaced(rollouts.keySet());
    }

    /** Records that all orders of the present history have been passed on. */
    void onOrdersListed() {
        restoredOrders.onListed();
    }

    /** Records that the operator has had the time to write lost orders again. */
    void onOrdersSettled() {
        restoredOrders.settle().forEach(waiting -> startRollout(waiting.order(), waiting.offset()));
    }

    /** Repeats failed reads at once, since the log responds again. */
    void onLogAvailable() {
        followers().forEach(KeyedFollower::retry);
    }

    private Stream<KeyedFollower> followers() {
        return Stream.of(statusFollower, countsFollower).flatMap(Optional::stream);
    }

    private void startFollowers() {
        if (statusFollower.isEmpty()) {
            statusFollower = Optional.of(new KeyedFollower(
                    sharedLog,
                    LogStream.STATUS,
                    state.bounds().storeCadence().rolloutStatus(),
                    scheduler,
                    random,
                    new LoggedStream(LogStream.STATUS, "log/status", new StatusListener(), scheduler::nanos, log),
                    error -> log.writeError("log/status", error)));
            statusFollower.get().start();
        }
        if (countsFollower.isEmpty()) {
            countsFollower = Optional.of(new KeyedFollower(
                    sharedLog,
                    LogStream.ROLLOUT_COUNTS,
                    state.bounds().storeCadence().rolloutCounts(EARLY_COUNTS_PAUSE),
                    scheduler,
                    random,
                    new LoggedStream(
                            LogStream.ROLLOUT_COUNTS, "log/counts", new CountsListener(), scheduler::nanos, log),
                    error -> log.writeError("log/counts", error)));
            countsFollower.get().start();
        }
    }

    private void stopFollowers() {
        statusFollower.ifPresent(KeyedFollower::stop);
        countsFollower.ifPresent(KeyedFollower::stop);
        statusFollower = Optional.empty();
        countsFollower = Optional.empty();
        statuses.clear();
    }

    private final class StatusListener implements KeyedFollower.Listener {
        @Override
        public void onRecord(KeyedRecord keyedRecord) {
            onStatus(keyedRecord);
        }

        @Override
        public void onHistoryReplaced(HistoryChange change) {
            statuses.clear();
            rollouts.values().forEach(ActiveRollout::recordStatusLost);
        }
    }

    private final class CountsListener implements KeyedFollower.Listener {
        @Override
        public void onRecord(KeyedRecord keyedRecord) {
            onCounts(keyedRecord);
        }

        @Override
        public void onHistoryReplaced(HistoryChange change) {
            rollouts.values().forEach(ActiveRollout::recordCountsLost);
        }
    }

    private void onStatus(KeyedRecord keyed) {
        if (keyed.tombstone()) {
            return;
        }
        try {
            final RolloutStatus status = codec.rolloutStatus(keyed);
            statuses.put(status.service(), status);
            final ActiveRollout active = rollouts.get(status.service());
            if (active != null && concerns(status, active.rollout())) {
                final Optional<RolloutProgress> progressBefore =
                        active.rollout().progress();
                active.rollout().applyProgress(status.progress());
                if (!progressBefore.equals(active.rollout().progress())) {
                    logRollout(active.rollout(), "agreed");
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
                active.rollout().mergeCounts(keyed.key(), counts, scheduler.nanos());
                if (active.rollout().concerns(counts)) {
                    active.sessions().merge(counts.sessions());
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
            final VersionRollout rollout = active.rollout();
            unfinished |= !active.ended() || active.lostProgress().isPresent();
            if (!progressKnown()) {
                continue;
            }
            if (active.ended()) {
                writeLostProgress(active, now);
                continue;
            }
            active.countJudgedAnswers(now);
            final GatewayActivity activity =
                    new GatewayActivity(runningOnOldVersions(rollout), active.lateOnNewVersion(now));
            final double scheduledShare = rollout.scheduledShare();
            final Optional<RolloutProgress> proposed = rollout.step(activity, now);
            if (scheduledShare != rollout.scheduledShare()) {
                active.scheduleCounts(now);
            }
            if (active.shareChanged(now)) {
                logRollout(rollout, "share");
            }
            proposed.ifPresentOrElse(
                    progress -> proposeProgress(active, progress, now), () -> writeLostProgress(active, now));
            publishCounts(active, activity, now);
        }
        if (!unfinished && statusFollower.isPresent()) {
            stopFollowers();
        }
        followers().forEach(KeyedFollower::followEra);
        countsFollower.ifPresent(
                follower -> follower.setTiming(state.bounds().storeCadence().rolloutCounts(countsPause(now))));
    }

    /** Writes a status again that the log has lost; until the order is written again, the status would name another one. */
    private void writeLostProgress(ActiveRollout active, long now) {
        if (active.lostProgress().isEmpty()
                || restoredOrders.awaits(active.rollout().service())) {
            return;
        }
        final RolloutProgress progress = active.lostProgress().get();
        final boolean written = Optional.ofNullable(
                        statuses.get(active.rollout().service()))
                .filter(status -> concerns(status, active.rollout())
                        && (status.progress() == progress || status.progress().ended()))
                .isPresent();
        if (written) {
            active.recordStatusWritten();
        } else {
            proposeProgress(active, progress, now);
        }
    }

    private Duration countsPause(long now) {
        return rollouts.values().stream()
                .filter(active -> !active.ended())
                .map(ActiveRollout::rollout)
                .map(rollout -> rollout.share(now) == 0
                        ? EARLY_COUNTS_PAUSE
                        : rollout.awaitsCounts(now, CALM_COUNTS_PAUSE) ? COUNTS_PAUSE : CALM_COUNTS_PAUSE)
                .min(Comparator.naturalOrder())
                .orElse(COUNTS_PAUSE);
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
        if (position.isEmpty() || !active.statusDue(now)) {
            return;
        }
        active.deferStatus(now + STATUS_RETRY_INTERVAL_NANOS);
        final VersionRollout rollout = active.rollout();
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
        final VersionRollout rollout = active.rollout();
        final RolloutCounts counts = rollout.counts(activity, active.sessions().report(), now);
        if (active.hasNewFailures(counts)) {
            active.scheduleCounts(active.publishedNanos() + BAD_COUNTS_PUBLISH_INTERVAL_NANOS);
        }
        if (!active.countsDue(now) || active.published(counts)) {
            return;
        }
        active.deferCounts(now, COUNTS_PUBLISH_INTERVAL_NANOS);
        sharedLog
                .append(LogStream.ROLLOUT_COUNTS, gatewayId, Json.encode(counts), OptionalLong.empty())
                .whenComplete((offset, error) -> {
                    if (error == null) {
                        active.recordPublished(counts);
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
        final ActiveRollout active = rollouts.get(service);
        if (active != null) {
            return active.eligibleUpstreams(
                    state.registry().members(service), session.orElse(requestId), progressKnown(), now);
        }
        final EstablishedVersions establishedVersions = established(service);
        final Predicate<Upstream> established = upstream -> establishedVersions.contains(upstream.version(), now);
        return new EligibleUpstreams(established, established, upstream -> true, Assignment.NO_ROLLOUT, 0);
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
        final ActiveSessions sessions = sessions(upstream.service());
        final Optional<ActiveRollout> rollout =
                Optional.ofNullable(rollouts.get(upstream.service())).filter(active -> !active.ended());
        attempt.session().ifPresent(session -> {
            sessions.begin(session, upstream.version());
            rollout.ifPresent(active -> active.recordSession(session, upstream.version(), scheduler.nanos()));
        });
        return new AnswerObserver(attempt, rollout, sessions, scheduler, log);
    }

    @Override
    public boolean updatesEstimates(Upstream upstream) {
        return Optional.ofNullable(rollouts.get(upstream.service()))
                .filter(active -> !active.ended())
                .map(ActiveRollout::rollout)
                .map(rollout -> !upstream.version().equals(rollout.version())
                        && rollout.oldVersionsFullyLoaded(scheduler.nanos()))
                .orElse(true);
    }

    /**
     * Returns whether the status and the counts of the other gateways were listed, so that what they have decided before
     * this gateway started is known. Always true if no rollout is in progress.
     */
    boolean progressKnown() {
        return followers().allMatch(KeyedFollower::listed);
    }
}
