package org.masticpaddle.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.control.RolloutProgress;

/**
 * One roll-out of a service to a version as one gateway sees it: its stage, the evidence of all gateways and its end.
 *
 * <p>Invariants: the share of the new version only grows until the end; a final progress is never left. Pure but for its
 * own state; the owner's thread uses it.
 */
public final class VersionRollout {
    /** Part of the time after which the move is complete even if requests still run on the old version. */
    private static final double LATEST_END = 0.9;
    /** Part of the time before which it is not complete, so that the new version has had all traffic for a while. */
    private static final double EARLIEST_END = 0.76;
    /** Answers of the new version without which no further stage is entered. */
    private static final double MIN_ANSWERS = 4;
    /** Evidence against the new version at which no further stage is entered. */
    private static final double DOUBT = 8;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String service;
    private final String version;
    private final long order;
    private final Duration within;
    private long startNanos;
    private final Map<String, RouteCounts> own = new HashMap<>();
    private final Map<String, RolloutCounts> others = new HashMap<>();
    private RolloutStage stage = RolloutStage.CANARY;
    private Optional<RolloutProgress> progress = Optional.empty();
    private boolean halted;

    /**
     * Begins a move.
     *
     * @param service name of the service
     * @param version version to move to
     * @param order identifier of the order
     * @param within time in which the move is to be done
     * @param startNanos time of the order
     */
    public VersionRollout(String service, String version, long order, Duration within, long startNanos) {
        this.service = Objects.requireNonNull(service, "service is null");
        this.version = Objects.requireNonNull(version, "version is null");
        this.order = order;
        this.within = Objects.requireNonNull(within, "within is null");
        this.startNanos = startNanos;
    }

    /**
     * Returns the service.
     *
     * @return its name
     */
    public String service() {
        return service;
    }

    /**
     * Returns the version to move to.
     *
     * @return the version
     */
    public String version() {
        return version;
    }

    /**
     * Returns the order.
     *
     * @return identifier of the order
     */
    public long order() {
        return order;
    }

    /**
     * Returns the progress that the gateways agreed on.
     *
     * @return the progress, empty while nobody has written one
     */
    public Optional<RolloutProgress> progress() {
        return progress;
    }

    /**
     * Takes the progress that the gateways agreed on.
     *
     * @param agreed the progress
     */
    public void agree(RolloutProgress agreed) {
        if (progress.filter(RolloutProgress::ended).isEmpty()) {
            progress = Optional.of(agreed);
        }
    }

    /**
     * Returns the share of sessions that go to the new version.
     *
     * @return share between 0 and 1
     */
    public double share() {
        return progress.filter(RolloutProgress::ended)
                .map(ended -> ended == RolloutProgress.COMPLETED ? 1.0 : 0.0)
                .orElse(halted ? 0.0 : stage.share());
    }

    /**
     * Counts an answer.
     *
     * @param moved whether an upstream of the new version gave it
     * @param route name of the route
     * @param sound whether it is no failure
     * @param slow whether it took several times longer than expected
     */
    public void answered(boolean moved, String route, boolean sound, boolean slow) {
        own.merge(route, RouteCounts.NONE.counting(moved, sound, slow), RouteCounts::plus);
    }

    /**
     * Takes the counts of another gateway, which replace its earlier ones, and its stage if it is further: a gateway that
     * started during the move has not seen the order come.
     *
     * @param gateway the gateway and its life
     * @param counts its counts since the order
     * @param now time in nanoseconds
     */
    public void learned(String gateway, RolloutCounts counts, long now) {
        if (counts.order() == order) {
            others.put(gateway, counts);
            startNanos = Math.min(startNanos, now - counts.passedMillis() * NANOS_PER_MILLI);
            stage = RolloutStage.values()[Math.min(RolloutStage.ALL.ordinal(), Math.max(stage.ordinal(), counts.stage()))];
        }
    }

    /**
     * Returns the counts of this gateway.
     *
     * @param runningBefore requests that run on other versions at this gateway
     * @param now time in nanoseconds
     * @return the counts for the other gateways
     */
    public RolloutCounts counts(int runningBefore, long now) {
        return new RolloutCounts(
                service, order, own, stage.ordinal(), (now - startNanos) / NANOS_PER_MILLI, runningBefore);
    }

    /**
     * Enters the next stage if its time has come and the evidence allows it, and decides on the end.
     *
     * @param runningBefore requests that run on other versions at this gateway
     * @param now time in nanoseconds
     * @return progress that should be agreed on, empty if nothing is to be written
     */
    public Optional<RolloutProgress> step(int runningBefore, long now) {
        if (progress.filter(RolloutProgress::ended).isPresent()) {
            return Optional.empty();
        }
        final double evidence = evidence();
        if (evidence >= SequentialTest.ALARM) {
            halted = true;
        }
        if (halted) {
            return Optional.of(RolloutProgress.ROLLED_BACK);
        }
        final double passed = (now - startNanos) / (double) within.toNanos();
        advance(passed, evidence);
        final boolean drained =
                runningBefore == 0 && others.values().stream().allMatch(counts -> counts.runningBefore() == 0);
        if (stage == RolloutStage.ALL && passed >= (drained ? EARLIEST_END : LATEST_END)) {
            return Optional.of(RolloutProgress.COMPLETED);
        }
        return progress.isEmpty() ? Optional.of(RolloutProgress.RUNNING) : Optional.empty();
    }

    private void advance(double passed, double evidence) {
        if (stage == RolloutStage.ALL || evidence >= DOUBT || total().after().requests() < MIN_ANSWERS) {
            return;
        }
        final RolloutStage next = RolloutStage.values()[stage.ordinal() + 1];
        if (passed >= next.begin()) {
            stage = next;
        }
    }

    /**
     * Computes the evidence against the new version, over all routes together and for each of them.
     *
     * @return largest likelihood ratio, about 1 without evidence
     */
    public double evidence() {
        final Map<String, RouteCounts> routes = routes();
        double most = evidence(total());
        for (final RouteCounts counts : routes.values()) {
            most = Math.max(most, evidence(counts) / routes.size());
        }
        return most;
    }

    private static double evidence(RouteCounts counts) {
        return SequentialTest.evidence(counts.after(), HealthBaseline.of(counts.before(), 1, 1));
    }

    /**
     * Adds up the counts of all gateways.
     *
     * @return counts over all routes
     */
    public RouteCounts total() {
        return routes().values().stream().reduce(RouteCounts.NONE, RouteCounts::plus);
    }

    private Map<String, RouteCounts> routes() {
        final Map<String, RouteCounts> all = new HashMap<>(own);
        others.values()
                .forEach(counts -> counts.routes().forEach((route, seen) -> all.merge(route, seen, RouteCounts::plus)));
        return all;
    }
}
