package org.masticpaddle.rollout;

import java.util.Map;
import java.util.Objects;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.SessionShare;

/**
 * Health of a version at any time, also outside a roll-out: it is stopped when it turns bad, and tried again later.
 *
 * <p>The time of a change is unknown, so the test sums the evidence since each recent interval (Shiryaev-Roberts). Its
 * mean time to a false alarm is at least {@link #ALARM} intervals, 115 days. Entries exchange their states and merge
 * them. Immutable and thread-safe.
 *
 * @param version the version
 * @param phase current phase
 * @param since start of the phase in milliseconds since 1970
 * @param stoppedAt time of the last stop in milliseconds since 1970
 * @param stops stops so far
 */
public record VersionHealth(VersionName version, Phase phase, long since, long stoppedAt, int stops) {
    /** Evidence at which a version is stopped, in intervals to a false alarm. */
    public static final double ALARM = 1e6;
    /** Share of new sessions and requests that a version on probation takes. */
    public static final double PROBATION_SHARE = 0.02;
    /** Time from the first stop to probation; each further stop doubles it. */
    public static final long FIRST_STOP_MILLIS = 600_000;

    private static final int MOST_DOUBLINGS = 6;
    private static final long WINDOW_MILLIS = 600_000;

    /** Phase of the health of a version; of two with as many stops, the later one counts. */
    public enum Phase {
        /** Takes no new work. */
        STOPPED,
        /** Takes a small share of new sessions. */
        PROBATION,
        /** Takes all work. */
        HEALTHY
    }

    /** Checks the arguments. */
    public VersionHealth {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(phase, "phase is null");
    }

    /**
     * Returns the state of a version that nothing is known against.
     *
     * @param version the version
     * @param now current time in milliseconds since 1970
     * @return the state
     */
    public static VersionHealth initial(VersionName version, long now) {
        return new VersionHealth(version, Phase.HEALTHY, now, 0, 0);
    }

    /**
     * Takes the next step.
     *
     * @param declared declared version
     * @param observations observations of all entries
     * @param now current time in milliseconds since 1970
     * @return the state after it
     */
    public VersionHealth step(ModelVersion declared, Observations observations, long now) {
        return switch (phase) {
            case HEALTHY -> alarm(declared, observations, now) ? stopped(now) : this;
            case STOPPED ->
                now - since >= FIRST_STOP_MILLIS << Math.min(MOST_DOUBLINGS, stops - 1)
                        ? new VersionHealth(version, Phase.PROBATION, now, stoppedAt, stops)
                        : this;
            case PROBATION -> afterProbation(declared, observations, now);
        };
    }

    private VersionHealth afterProbation(ModelVersion declared, Observations observations, long now) {
        final HealthCounts counts = observations.countsSince(version, since + Observations.INTERVAL_MILLIS);
        final HealthBaseline baseline = baseline(declared, observations, stoppedAt - WINDOW_MILLIS);
        return switch (SequentialTest.decide(counts, baseline)) {
            case BAD -> stopped(now);
            case UNDECIDED -> this;
            case HEALTHY -> new VersionHealth(version, Phase.HEALTHY, now, stoppedAt, stops);
        };
    }

    private VersionHealth stopped(long now) {
        return new VersionHealth(version, Phase.STOPPED, now, now, stops + 1);
    }

    /** Sums the evidence since each interval of the window; after a recovery only since the recovery. */
    private boolean alarm(ModelVersion declared, Observations observations, long now) {
        final long from = stops == 0 ? now - WINDOW_MILLIS : Math.max(now - WINDOW_MILLIS, since);
        final HealthBaseline baseline = baseline(declared, observations, now - WINDOW_MILLIS);
        final long first = Math.floorDiv(from, Observations.INTERVAL_MILLIS);
        HealthCounts suffix = HealthCounts.NONE;
        double evidence = 0;
        for (final Map.Entry<Long, HealthCounts> interval : observations
                .intervals(version)
                .tailMap(first, true)
                .descendingMap()
                .entrySet()) {
            suffix = suffix.plus(interval.getValue());
            evidence += SequentialTest.evidence(suffix, baseline);
        }
        return evidence >= ALARM;
    }

    private HealthBaseline baseline(ModelVersion declared, Observations observations, long until) {
        return HealthBaseline.of(
                observations.countsBefore(version, until), declared.quality(), Math.max(1, declared.priorWeight()));
    }

    /**
     * Tells whether the version takes new work of a session or request.
     *
     * @param stickyKey session, or the request id of a request without one
     * @return {@code true} if healthy, or on probation with this key in the share
     */
    public boolean acceptsWork(String stickyKey) {
        return phase == Phase.HEALTHY
                || phase == Phase.PROBATION && SessionShare.includes(version.toString(), stickyKey, PROBATION_SHARE);
    }

    /**
     * Joins the states of two entries. Commutative, associative and idempotent.
     *
     * @param other state of another entry for the same version
     * @return the state with more stops, or the later phase, or the earlier start
     */
    public VersionHealth merge(VersionHealth other) {
        if (other.stops != stops) {
            return other.stops > stops ? other : this;
        }
        if (other.phase != phase) {
            return other.phase.compareTo(phase) > 0 ? other : this;
        }
        if (other.since != since) {
            return other.since < since ? other : this;
        }
        return other.stoppedAt < stoppedAt ? other : this;
    }
}
