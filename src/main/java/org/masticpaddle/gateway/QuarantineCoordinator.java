package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.control.HistoryChange;
import org.masticpaddle.control.KeyedFollower;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.ReadTiming;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.control.StreamHealth;
import org.masticpaddle.control.SuccessorWatch;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.quarantine.Admission;
import org.masticpaddle.quarantine.GatewayReport;
import org.masticpaddle.quarantine.SegmentKey;
import org.masticpaddle.quarantine.SegmentQuarantine;
import org.masticpaddle.quarantine.Suspicion;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Quarantines prompt segments that crash upstreams, in agreement with the other gateways.
 *
 * <p>Each gateway publishes the crashes that it has seen under its own key and reads those of the others. Without crashes, it
 * writes nothing and only keeps a long poll open. Invariants: a crash is published only after its upstream has refused a
 * connection, so that a single broken connection is no evidence; requests are told of each change of the suspicions. Runs on
 * the event loop.
 */
final class QuarantineCoordinator {
    /** Timing of reads while no upstream is lost. */
    private static final ReadTiming CALM = new ReadTiming(Duration.ofSeconds(20), Duration.ZERO, Duration.ofSeconds(2));
    /**
     * Timing of reads after the loss of an upstream; a connection that has gone silent is noticed in time. The first report of a
     * loss is read at once. The pause lets one read return the reports of many gateways that have seen the same loss.
     */
    private static final ReadTiming ALERT =
            new ReadTiming(Duration.ofSeconds(2), Duration.ofMillis(500), Duration.ofSeconds(2));
    /** Time for which reads stay frequent after the loss of an upstream. */
    private static final long ALERT_NANOS = 8_000_000_000L;
    /** Shortest interval between two writes of this gateway's report. */
    private static final long PUBLISH_INTERVAL_NANOS = 100_000_000L;
    /** Delay after a failed write. */
    private static final long PUBLISH_RETRY_NANOS = 400_000_000L;
    /**
     * Maximum random delay of a write that only clears segments of another gateway's report, so that one gateway does it for
     * all.
     */
    private static final double CLEARANCE_JITTER_NANOS = 300e6;

    private final String gateway;
    private final SharedLog sharedLog;
    private final Function<URI, CompletableFuture<Void>> reachability;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final LongSupplier wallMillis;
    private final DecisionLog log;
    private final SegmentQuarantine quarantine;
    private final KeyedFollower follower;
    private final Set<PromptGuard> guards = new HashSet<>();
    private final SuccessorWatch successorWatch = new SuccessorWatch();
    private long alertUntilNanos;
    private long nextPublishNanos;
    private long clearanceNanos;
    private boolean publishing;

    /**
     * Creates a coordinator that does not follow the log yet.
     *
     * @param gateway name of this gateway, the key of its report; the same after a restart
     * @param sharedLog log through which the gateways exchange reports
     * @param reachability checks whether a connection to an upstream can be opened; fails if not
     * @param scheduler clock and timers of the event loop
     * @param random source of the jitter of writes and reads
     * @param wallMillis time in milliseconds since 1970
     * @param log decision log
     */
    QuarantineCoordinator(
            String gateway,
            SharedLog sharedLog,
            Function<URI, CompletableFuture<Void>> reachability,
            Scheduler scheduler,
            UniformRandomProvider random,
            LongSupplier wallMillis,
            DecisionLog log) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.sharedLog = Objects.requireNonNull(sharedLog, "sharedLog is null");
        this.reachability = Objects.requireNonNull(reachability, "reachability is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
        this.log = Objects.requireNonNull(log, "log is null");
        quarantine = new SegmentQuarantine(gateway);
        follower = new KeyedFollower(
                sharedLog,
                LogStream.CRASH_REPORTS,
                CALM,
                scheduler,
                random,
                new LoggedStream(LogStream.CRASH_REPORTS, "log/crashes", new ReportListener(), scheduler::nanos, log),
                error -> log.writeError("log/crashes", error));
        alertUntilNanos = scheduler.nanos();
        nextPublishNanos = scheduler.nanos();
        clearanceNanos = scheduler.nanos();
    }

    /** Returns the health of the stream of reports; may be called by any thread. */
    StreamHealth health() {
        return follower.health();
    }

    /** Starts to read the reports of the gateways. */
    void start() {
        follower.start();
    }

    /** Returns whether the reports were listed, so that what the other gateways know is known here. */
    boolean caughtUp() {
        return follower.listed();
    }

    /**
     * Returns whether this gateway awaits the successors of upstreams that it has lost.
     *
     * @param listed number of the listed upstreams of a service
     */
    boolean awaitsSuccessors(ToIntFunction<String> listed, long now) {
        return successorWatch.active(listed, now);
    }

    /** Repeats a failed read at once, since the log responds again. */
    void onLogAvailable() {
        follower.retry();
    }

    /** Forgets old evidence and publishes changes. Called about ten times a second. */
    void tick() {
        change(() -> quarantine.expire(wallMillis.getAsLong()));
        follower.setTiming(scheduler.nanos() < alertUntilNanos ? ALERT : CALM);
        follower.followEra();
        publish();
    }

    /** Starts to watch a request, which closes the guard at its end. */
    PromptGuard guard(String service, Set<String> segments, Runnable onChange) {
        final PromptGuard guard = new PromptGuard(this, service, segments, onChange);
        guards.add(guard);
        return guard;
    }

    void close(PromptGuard guard) {
        quarantine.endTrial(guard);
        guards.remove(guard);
    }

    Admission admit(PromptGuard guard) {
        return quarantine.admit(guard.service(), guard.segments(), guard, wallMillis.getAsLong());
    }

    /** Returns the time until an admission may change, in seconds; 0 if it may change at any moment. */
    double secondsUntil(Admission admission) {
        return Math.max(0, admission.untilMillis() - wallMillis.getAsLong()) / 1e3;
    }

    void beginTrial(PromptGuard guard) {
        quarantine.beginTrial(guard.service(), guard.segments(), guard);
    }

    void endTrial(PromptGuard guard) {
        quarantine.endTrial(guard);
    }

    /** Records that an answer has gone on after its beginning. */
    void onProgress(PromptGuard guard) {
        change(() -> quarantine.recordProgress(guard.service(), guard.segments(), wallMillis.getAsLong()));
    }

    /** Records that an answer that had just begun was given up. */
    void onAbandoned(PromptGuard guard, Upstream upstream) {
        quarantine.recordAbandoned(incarnation(upstream), guard.segments(), wallMillis.getAsLong());
    }

    /** Records that a connection to an upstream could not be opened. */
    void onUnreachable(Upstream upstream) {
        if (successorWatch.recordLoss(upstream.service(), incarnation(upstream), scheduler.nanos())) {
            startAlert();
        }
    }

    /**
     * Records that the connection of an attempt broke before its answer was complete, and finds out whether the upstream was
     * lost.
     */
    void onLost(PromptGuard guard, Upstream upstream, boolean justBegun) {
        final String lost = incarnation(upstream);
        final boolean checking = quarantine.unconfirmed(lost);
        final Set<String> segments = justBegun ? guard.segments() : Set.of();
        final Set<String> candidates = new HashSet<>();
        change(() -> candidates.addAll(quarantine.recordLoss(guard.service(), lost, segments, wallMillis.getAsLong())));
        if (candidates.isEmpty()) {
            return;
        }
        startAlert();
        logStep("lost", guard.service(), candidates, lost);
        if (!checking && quarantine.unconfirmed(lost)) {
            reachability.apply(upstream.origin()).whenComplete((ignored, error) -> onChecked(upstream, error != null));
        }
    }

    private void onChecked(Upstream upstream, boolean lost) {
        if (lost) {
            successorWatch.recordLoss(upstream.service(), incarnation(upstream), scheduler.nanos());
            quarantine.confirmLoss(incarnation(upstream));
            publish();
        } else {
            change(() -> quarantine.retractLoss(incarnation(upstream)));
        }
    }

    private void startAlert() {
        alertUntilNanos = scheduler.nanos() + ALERT_NANOS;
        follower.setTiming(ALERT);
    }

    private final class ReportListener implements KeyedFollower.Listener {
        /** Whether the records belong to a listing of a restored log. */
        private boolean restoring;

        @Override
        public void onRecord(KeyedRecord keyedRecord) {
            onReport(keyedRecord, restoring);
        }

        @Override
        public void onCaughtUp(long nanos) {
            restoring = false;
        }

        /** The restored log may hold an earlier report of this gateway or none, so that the present one is published again. */
        @Override
        public void onHistoryReplaced(HistoryChange change) {
            restoring = true;
            quarantine.recordPublished(GatewayReport.EMPTY);
        }
    }

    private void onReport(KeyedRecord keyed, boolean restoring) {
        try {
            final GatewayReport report =
                    keyed.tombstone() ? GatewayReport.EMPTY : Json.decode(keyed.value(), GatewayReport.class);
            if (!keyed.key().equals(gateway)) {
                change(() -> quarantine.mergeReport(keyed.key(), report, wallMillis.getAsLong()));
                clearanceNanos = scheduler.nanos() + (long) (random.nextDouble() * CLEARANCE_JITTER_NANOS);
                startAlert();
            } else if (!caughtUp()) {
                change(() -> quarantine.restoreReport(report));
            } else if (restoring) {
                quarantine.recordPublished(report);
            }
        } catch (MalformedMessageException e) {
            log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", e.getMessage());
        }
    }

    private void publish() {
        final long now = scheduler.nanos();
        if (publishing
                || now < nextPublishNanos
                || now < clearanceNanos && !quarantine.hasUnpublishedCrash()
                || !caughtUp()) {
            return;
        }
        final Optional<GatewayReport> unpublished = quarantine.unpublishedReport();
        if (unpublished.isEmpty()) {
            return;
        }
        final GatewayReport report = unpublished.get();
        publishing = true;
        sharedLog
                .append(
                        LogStream.CRASH_REPORTS,
                        gateway,
                        report.empty() ? new byte[0] : Json.encode(report),
                        OptionalLong.empty())
                .whenComplete((offset, error) -> {
                    publishing = false;
                    if (error == null) {
                        quarantine.recordPublished(report);
                    }
                    nextPublishNanos =
                            scheduler.nanos() + (error == null ? PUBLISH_INTERVAL_NANOS : PUBLISH_RETRY_NANOS);
                });
    }

    /** Applies a change of the evidence; logs which suspicions it changes and tells the requests. */
    private void change(Runnable evidence) {
        final Map<SegmentKey, Suspicion> before = quarantine.suspicions();
        evidence.run();
        final Map<SegmentKey, Suspicion> after = quarantine.suspicions();
        if (before.equals(after)) {
            return;
        }
        logChanges(before, after);
        List.copyOf(guards).forEach(PromptGuard::onChange);
    }

    private void logChanges(Map<SegmentKey, Suspicion> before, Map<SegmentKey, Suspicion> after) {
        after.forEach((key, suspicion) -> {
            final Suspicion previous = before.get(key);
            if (previous == null || !previous.upstreams().equals(suspicion.upstreams())) {
                logSuspicion(suspicion.quarantined() ? "quarantined" : "suspected", key, suspicion);
            }
        });
        final Map<SegmentKey, Suspicion> released = new HashMap<>(before);
        released.keySet().removeAll(after.keySet());
        released.forEach((key, suspicion) -> logSuspicion("released", key, suspicion));
    }

    private void logSuspicion(String step, SegmentKey key, Suspicion suspicion) {
        log.write(
                Decision.QUARANTINE_CHANGED,
                "step",
                step,
                "service",
                key.service(),
                "segment",
                key.segment(),
                "crashes",
                suspicion.crashes(),
                "upstreams",
                String.join(",", suspicion.upstreams()),
                "owner",
                suspicion.owner(),
                "until",
                suspicion.untilMillis());
    }

    private void logStep(String step, String service, Set<String> segments, String upstream) {
        log.write(
                Decision.QUARANTINE_CHANGED,
                "step",
                step,
                "service",
                service,
                "segments",
                String.join(",", segments),
                "upstreams",
                upstream);
    }

    private static String incarnation(Upstream upstream) {
        return upstream.id() + "@" + upstream.startMillis();
    }
}
