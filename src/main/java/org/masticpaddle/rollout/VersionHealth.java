package org.masticpaddle.rollout;

import java.util.Map;
import java.util.Objects;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.SessionShare;

/**
 * Health of a version, inside and outside of rollouts: a circuit breaker that stops the version when it turns bad and lets
 * it recover through probation.
 *
 * <p>The time of a change is unknown, so the test sums the evidence since each recent interval (Shiryaev-Roberts procedure).
 * Its mean time to a false alarm is at least {@link #ALARM_EVIDENCE} intervals, which is 115 days. Entries exchange their
 * states and merge them. Immutable and thread-safe.
 *
 * @param version name of the version
 * @param phase current phase
 * @param since start of the phase in milliseconds since 1970
 * @param stoppedAt time of the last stop in milliseconds since 1970, 0 if there was none
 * @param stops number of stops so far
 */
public record VersionHealth(VersionName version, Phase phase, long since, long stoppedAt, int stops) {
    /** Evidence at which a version is stopped; a lower bound of the mean number of intervals to a false alarm. */
    public static final double ALARM_EVIDENCE = 1e6;
    /** Share of new sessions and requests that are assigned to a version on probation. */
    public static final double PROBATION_SHARE = 0.02;
    /** Time from the first stop to probation, in milliseconds; each further stop doubles it. */
    public static final long FIRST_STOP_MILLIS = 600_000;

    /** Limit of the doublings of the time to probation. */
    private static final int MAX_STOP_DOUBLINGS = 6;
    /** Length of the window in which a change of the version is tested for. */
    private static final long ALARM_WINDOW_MILLIS = 600_000;

    /** Phase of the health of a version, in the order in which they follow a stop; a merge keeps the later one. */
    public enum Phase {
        /** The version gets no new sessions or requests. */
        STOPPED,
        /** The version gets a small share of new sessions and requests. */
        PROBATION,
        /** The version gets sessions and requests without restriction. */
        HEALTHY
    }

    /** Checks the arguments. */
    public VersionHealth {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(phase, "phase is null");
    }

    /**
     * Returns the initial state of a version.
     *
     * @param version name of the version
     * @param now current time in milliseconds since 1970
     * @return healthy state without stops
     */
    public static VersionHealth initial(VersionName version, long now) {
        return new VersionHealth(version, Phase.HEALTHY, now, 0, 0);
    }

    /**
     * Computes the next state.
     *
     * @param declared version as the routing document declares it
     * @param observations observations of all entries
     * @param now current time in milliseconds since 1970
     * @return the next state, this one if nothing changes
     */
    public VersionHealth step(ModelVersion declared, Observations observations, long now) {
        return switch (phase) {
            case HEALTHY -> reachesAlarm(declared, observations, now) ? stop(now) : this;
            case STOPPED ->
                now - since >= FIRST_STOP_MILLIS << Math.min(MAX_STOP_DOUBLINGS, stops - 1)
                        ? new VersionHealth(version, Phase.PROBATION, now, stoppedAt, stops)
                        : this;
            case PROBATION -> afterProbation(declared, observations, now);
        };
    }

    private VersionHealth afterProbation(ModelVersion declared, Observations observations, long now) {
        final HealthCounts counts = observations.countsSince(version, since + Observations.INTERVAL_MILLIS);
        final HealthBaseline baseline = baseline(declared, observations, stoppedAt - ALARM_WINDOW_MILLIS);
        return switch (SequentialTest.decide(counts, baseline)) {
            case BAD -> stop(now);
            case UNDECIDED -> this;
            case HEALTHY -> new VersionHealth(version, Phase.HEALTHY, now, stoppedAt, stops);
        };
    }

    private VersionHealth stop(long now) {
        return new VersionHealth(version, Phase.STOPPED, now, now, stops + 1);
    }

    /**
     * Returns whether the evidence reaches the alarm threshold. The evidence is summed over all intervals of the window at
     * which the version may have turned bad. After a recovery only the intervals since the recovery count.
     */
    private boolean reachesAlarm(ModelVersion declared, Observations observations, long now) {
        final long windowStart = stops == 0 ? now - ALARM_WINDOW_MILLIS : Math.max(now - ALARM_WINDOW_MILLIS, since);
        final HealthBaseline baseline = baseline(declared, observations, now - ALARM_WINDOW_MILLIS);
        final long firstInterval = Math.floorDiv(windowStart, Observations.INTERVAL_MILLIS);
        HealthCounts sinceInterval = HealthCounts.NONE;
        double evidence = 0;
        for (final Map.Entry<Long, HealthCounts> interval : observations
                .intervals(version)
                .tailMap(firstInterval, true)
                .descendingMap()
                .entrySet()) {
            sinceInterval = sinceInterval.plus(interval.getValue());
            evidence += SequentialTest.evidence(sinceInterval, baseline);
        }
        return evidence >= ALARM_EVIDENCE;
    }

    private HealthBaseline baseline(ModelVersion declared, Observations observations, long until) {
        return HealthBaseline.of(
                observations.countsBefore(version, until), declared.quality(), Math.max(1, declared.priorWeight()));
    }

    /**
     * Returns whether the version may get a new session or request.
     *
     * @param stickyKey identifier of the session, or of the request if it has no session
     * @return {@code true} if the version is healthy, or on probation and the key is in its share
     */
    public boolean acceptsWork(String stickyKey) {
        return phase == Phase.HEALTHY
                || phase == Phase.PROBATION && SessionShare.includes(version.toString(), stickyKey, PROBATION_SHARE);
    }

    /**
     * Merges the states of two entries. Commutative, associative and idempotent.
     *
     * @param other state of another entry for the same version
     * @return the state with more stops; with equal stops the later phase; in the same phase the earlier start
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
