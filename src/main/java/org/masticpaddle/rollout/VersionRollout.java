package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.control.RolloutProgress;

/**
 * Rollout of a service to a version, as one gateway sees it: a canary analysis in stages on the counts of all gateways.
 *
 * <p>Invariants: the share of the new version only grows until the rollout ends, and grows at all gateways at the same time,
 * unless they cannot reach each other; a final progress never changes. Performs no
 * input or output. Not thread-safe: used on the owner's thread only.
 */
public final class VersionRollout {
    /** Fraction of the time limit after which the rollout completes even if requests still run on the old version. */
    private static final double LATEST_COMPLETION_FRACTION = 0.9;
    /**
     * Fraction of the time limit before which the rollout does not complete, so that the new version has had all traffic for a
     * while.
     */
    private static final double EARLIEST_COMPLETION_FRACTION = 0.76;
    /** Fraction of the time limit within which active sessions stay on the old version: half of it and a margin for the clocks. */
    private static final double KEEP_SESSIONS_FRACTION = 0.52;
    /** Answers that are required in a stage, so that its load has shown, before the next stage or the completion. */
    private static final double MIN_STAGE_ANSWERS = 8;
    /** Evidence against the new version, as a likelihood ratio, from which on no further stage is entered. */
    private static final double ADVANCE_EVIDENCE_LIMIT = 8;
    /** Evidence below which nothing speaks against the new version. */
    private static final double CALM_EVIDENCE_LIMIT = 2;
    /** Likelihood ratio up to which a fault is excluded. */
    private static final double MAX_EXCLUDED_RATIO = 0.1;
    /** Likelihood ratio up to which a fault is excluded on a single route, which has fewer answers. */
    private static final double MAX_EXCLUDED_ROUTE_RATIO = 0.3;
    /** Size of the fault that must be excluded on a single route. */
    private static final double EXCLUDED_ROUTE_FAULT = 0.4;
    /** Part of the answers from which on a route is judged by itself before all traffic is shifted. */
    private static final double MIN_ROUTE_PART = 0.1;

    /**
     * Time from the decision on a stage to its start, within which all gateways hear of it. Before the first stage they tell
     * each other the active sessions.
     */
    private static final long STAGE_NOTICE_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String service;
    private final String version;
    private long order;
    private final Duration timeLimit;
    private final double exposureShare;
    private long startNanos;
    private final Map<String, RouteCounts> localCounts = new HashMap<>();
    private final Map<String, RolloutCounts> peerCounts = new HashMap<>();
    private RolloutStage stage = RolloutStage.CANARY;
    private long stageStartMillis = STAGE_NOTICE_MILLIS;
    private Optional<RolloutProgress> progress = Optional.empty();
    /** Last stage that has started, and the answers of the new version that were counted before its start. */
    private RolloutStage countedStage = RolloutStage.CANARY;

    private double answersBeforeStage;
    private boolean halted;

    /**
     * Starts a rollout at its canary stage.
     *
     * @param service name of the service
     * @param version version to roll out
     * @param order identifier of the order, its offset in the operators' stream
     * @param timeLimit time from the order within which the rollout must end
     * @param exposureShare share of the requests that a bad version may get, between 0 and 1
     * @param startNanos time of the order by the scheduler's clock, in nanoseconds
     */
    public VersionRollout(
            String service, String version, long order, Duration timeLimit, double exposureShare, long startNanos) {
        this.service = Objects.requireNonNull(service, "service is null");
        this.version = Objects.requireNonNull(version, "version is null");
        this.order = order;
        this.timeLimit = Objects.requireNonNull(timeLimit, "timeLimit is null");
        this.exposureShare = exposureShare;
        this.startNanos = startNanos;
    }

    /**
     * Returns the service that is updated.
     *
     * @return name of the service
     */
    public String service() {
        return service;
    }

    /**
     * Returns the version that is rolled out.
     *
     * @return name of the new version
     */
    public String version() {
        return version;
    }

    /**
     * Returns the order that started the rollout.
     *
     * @return identifier of the order, its offset in the operators' stream
     */
    public long order() {
        return order;
    }

    /**
     * Takes over the identifier that the order has since the log was restored and the operator wrote the order again. Counts and
     * stage stay.
     *
     * @param newOrder identifier of the order, its offset in the restored stream
     */
    public void reidentify(long newOrder) {
        order = newOrder;
    }

    /**
     * Returns the progress that the gateways agreed on.
     *
     * @return the agreed progress, empty until a gateway has written one
     */
    public Optional<RolloutProgress> progress() {
        return progress;
    }

    /**
     * Applies the progress that the gateways agreed on, unless a final progress was applied before.
     *
     * @param agreed progress read from the status stream
     */
    public void applyProgress(RolloutProgress agreed) {
        if (progress.filter(RolloutProgress::ended).isEmpty()) {
            progress = Optional.of(agreed);
        }
    }

    /**
     * Returns the share of sessions that are routed to the new version.
     *
     * @param now current time by the scheduler's clock, in nanoseconds
     * @return share between 0 and 1; 0 once the new version was found bad
     */
    public double share(long now) {
        return progress.filter(RolloutProgress::ended)
                .map(ended -> ended == RolloutProgress.COMPLETED ? 1.0 : 0.0)
                .orElse(
                        halted
                                ? 0.0
                                : stageStarted(now) ? stage.share(exposureShare) : stage.shareBefore(exposureShare));
    }

    /**
     * Returns the share of sessions that the present or next stage routes to the new version.
     *
     * @return share between 0 and 1
     */
    public double scheduledShare() {
        return stage.share(exposureShare);
    }

    /**
     * Returns whether this gateway has found the new version bad.
     *
     * @return {@code true} even before the gateways have agreed on it
     */
    public boolean halted() {
        return halted;
    }

    /**
     * Returns whether the old versions still get the load that they had before the rollout, apart from the canary's.
     *
     * @param now current time by the scheduler's clock, in nanoseconds
     * @return {@code false} from the stage after the canary on
     */
    public boolean oldVersionsFullyLoaded(long now) {
        return stage == RolloutStage.CANARY || stage == RolloutStage.PARTIAL && !stageStarted(now);
    }

    /**
     * Returns whether active sessions stay on the old version.
     *
     * @param now current time by the scheduler's clock, in nanoseconds
     * @return {@code true} in the first half of the time limit
     */
    public boolean keepsSessionsOnOldVersion(long now) {
        return now - startNanos < KEEP_SESSIONS_FRACTION * timeLimit.toNanos();
    }

    private boolean stageStarted(long now) {
        return elapsedMillis(now) >= stageStartMillis;
    }

    private long elapsedMillis(long now) {
        return (now - startNanos) / NANOS_PER_MILLI;
    }

    /**
     * Counts an answer that this gateway received.
     *
     * @param newVersion whether an upstream of the new version gave the answer
     * @param route name of the route
     * @param successful whether the upstream answered without a failure
     * @param slow whether the answer took much longer than expected, also if it has not ended
     */
    public void recordAnswer(boolean newVersion, String route, boolean successful, boolean slow) {
        localCounts.merge(route, RouteCounts.NONE.withAnswer(newVersion, successful, slow), RouteCounts::plus);
    }

    /**
     * Merges the state of another gateway. Its counts replace its earlier ones; the later stage and the earlier start of the
     * rollout apply, since a gateway that started during the rollout does not know when the order was given. Counts of
     * another order are ignored.
     *
     * @param gatewayId name and incarnation of the other gateway
     * @param counts counts of the other gateway since the order
     * @param now current time by the scheduler's clock, in nanoseconds
     */
    public void mergeCounts(String gatewayId, RolloutCounts counts, long now) {
        if (concerns(counts)) {
            peerCounts.put(gatewayId, counts);
            startNanos = Math.min(startNanos, now - counts.passedMillis() * NANOS_PER_MILLI);
            final RolloutStage peerStage = RolloutStage.values()[Math.min(RolloutStage.ALL.ordinal(), counts.stage())];
            if (peerStage.compareTo(stage) > 0) {
                stage = peerStage;
                stageStartMillis = counts.stageStartMillis();
            } else if (peerStage == stage) {
                stageStartMillis = Math.min(stageStartMillis, counts.stageStartMillis());
            }
        }
    }

    /**
     * Returns whether counts belong to this rollout. After a restore of the log, orders of two versions may have the same identifier.
     *
     * @param counts counts of another gateway
     * @return {@code true} if order and version are the same
     */
    public boolean concerns(RolloutCounts counts) {
        return counts.order() == order
                && (counts.version().isEmpty() || counts.version().equals(version));
    }

    /**
     * Returns the state of this gateway for publication.
     *
     * @param activity requests of this gateway that are in flight
     * @param sessions active sessions that run on another version than their hash assigns them to
     * @param now current time by the scheduler's clock, in nanoseconds
     * @return counts that the other gateways merge
     */
    public RolloutCounts counts(GatewayActivity activity, List<SessionUse> sessions, long now) {
        return new RolloutCounts(
                service,
                version,
                order,
                localCounts,
                stage.ordinal(),
                stageStartMillis,
                elapsedMillis(now),
                activity,
                sessions);
    }

    /**
     * Schedules the next stage if it is due and the evidence allows it, and decides whether the rollout ends. Both need
     * evidence that the new version is healthy; without it the rollout stays where it is.
     *
     * @param activity requests of this gateway that are in flight
     * @param now current time by the scheduler's clock, in nanoseconds
     * @return progress to propose to the other gateways, empty if the agreed one still holds
     */
    public Optional<RolloutProgress> step(GatewayActivity activity, long now) {
        if (progress.filter(RolloutProgress::ended).isPresent()) {
            return Optional.empty();
        }
        final double evidence = evidence();
        if (evidence >= SequentialTest.ALARM_EVIDENCE) {
            halted = true;
        }
        if (halted) {
            return Optional.of(RolloutProgress.ROLLED_BACK);
        }
        if (stageStarted(now) && countedStage != stage) {
            countedStage = stage;
            answersBeforeStage = totals().after().requests();
        }
        if (stageStarted(now) && evidence < ADVANCE_EVIDENCE_LIMIT) {
            if (stage != RolloutStage.ALL) {
                scheduleNextStage(activity, now);
            } else if (mayComplete(activity, now)) {
                return Optional.of(RolloutProgress.COMPLETED);
            }
        }
        return progress.isEmpty() ? Optional.of(RolloutProgress.RUNNING) : Optional.empty();
    }

    private void scheduleNextStage(GatewayActivity activity, long now) {
        final RolloutStage nextStage = RolloutStage.values()[stage.ordinal() + 1];
        final long earliestStartMillis = (long) (nextStage.earliestStartFraction() * timeLimit.toMillis());
        final long noticedStartMillis = elapsedMillis(now) + STAGE_NOTICE_MILLIS;
        if (noticedStartMillis >= earliestStartMillis && healthyFor(nextStage, activity)) {
            stage = nextStage;
            stageStartMillis = noticedStartMillis;
        }
    }

    private boolean mayComplete(GatewayActivity activity, long now) {
        final boolean oldVersionsDrained = activity.onOldVersions() == 0
                && peerCounts.values().stream()
                        .allMatch(counts -> counts.activity().onOldVersions() == 0);
        final double elapsedFraction = (now - startNanos) / (double) timeLimit.toNanos();
        return elapsedFraction >= (oldVersionsDrained ? EARLIEST_COMPLETION_FRACTION : LATEST_COMPLETION_FRACTION)
                && healthyFor(RolloutStage.ALL, activity);
    }

    /**
     * Returns whether the answers so far exclude the fault that must be excluded for a stage. Answers that are later than
     * expected count as slow until they have arrived.
     */
    private boolean healthyFor(RolloutStage nextStage, GatewayActivity activity) {
        final RouteCounts totals = totals();
        if (totals.after().requests() - answersBeforeStage < MIN_STAGE_ANSWERS) {
            return false;
        }
        final int late = activity.lateOnNewVersion()
                + peerCounts.values().stream()
                        .mapToInt(counts -> counts.activity().lateOnNewVersion())
                        .sum();
        final HealthCounts withLate = totals.after().plus(new HealthCounts(late, 0, late, 0, 0));
        return SequentialTest.faultRatio(withLate, baseline(totals), nextStage.excludedFault()) <= MAX_EXCLUDED_RATIO
                && (nextStage != RolloutStage.ALL || healthyOnEachRoute(totals));
    }

    private boolean healthyOnEachRoute(RouteCounts totals) {
        return countsByRoute().values().stream()
                .filter(counts -> counts.before().requests()
                        >= MIN_ROUTE_PART * totals.before().requests())
                .allMatch(counts -> SequentialTest.faultRatio(counts.after(), baseline(counts), EXCLUDED_ROUTE_FAULT)
                        <= MAX_EXCLUDED_ROUTE_RATIO);
    }

    /**
     * Computes the evidence against the new version, over all routes together and for each route. The evidence of a single
     * route is divided by the number of routes, to correct for testing several routes.
     *
     * @return largest likelihood ratio, about 1 without observations
     */
    public double evidence() {
        final Map<String, RouteCounts> routes = countsByRoute();
        double maxEvidence = evidence(totals());
        for (final RouteCounts counts : routes.values()) {
            maxEvidence = Math.max(maxEvidence, evidence(counts) / routes.size());
        }
        return maxEvidence;
    }

    private double evidence(RouteCounts counts) {
        return SequentialTest.evidence(counts.after(), baseline(counts));
    }

    private HealthBaseline baseline(RouteCounts counts) {
        return HealthBaseline.of(counts.before(), 1, 1).withSlowTolerance(countedStage.slowTolerance());
    }

    /**
     * Returns whether the counts of other gateways may soon change the share or end the rollout. They do not while the canary
     * gets its share without evidence against it and the next stage is not due: its exposure is within its limit without a
     * verdict, and a gateway that sees failures finds out by itself that they matter.
     *
     * @param now current time by the scheduler's clock, in nanoseconds
     * @param notice time before the decision on the next stage from which on the counts matter
     * @return {@code true} if the counts are to be read at short intervals
     */
    public boolean awaitsCounts(long now, Duration notice) {
        final double nextDecisionMillis =
                RolloutStage.PARTIAL.earliestStartFraction() * timeLimit.toMillis() - STAGE_NOTICE_MILLIS;
        return stage != RolloutStage.CANARY
                || evidence() >= CALM_EVIDENCE_LIMIT
                || elapsedMillis(now) >= nextDecisionMillis - notice.toMillis();
    }

    /**
     * Sums the counts of all gateways over all routes.
     *
     * @return sums of the old versions and of the new version
     */
    public RouteCounts totals() {
        return countsByRoute().values().stream().reduce(RouteCounts.NONE, RouteCounts::plus);
    }

    private Map<String, RouteCounts> countsByRoute() {
        final Map<String, RouteCounts> totals = new HashMap<>(localCounts);
        peerCounts
                .values()
                .forEach(counts -> counts.routes()
                        .forEach((route, routeCounts) -> totals.merge(route, routeCounts, RouteCounts::plus)));
        return totals;
    }
}
