package org.masticpaddle.membership;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.LoadReport;

/**
 * What a process knows about one instance. Immutable and thread-safe. Times are in milliseconds of the process's clock.
 *
 * @param instance last row of the instance list
 * @param listed whether the list still has it
 * @param listedMillis time at which {@code listed} last changed
 * @param incarnation highest incarnation heard of, 0 if none
 * @param draining whether that incarnation drains, which it never ends
 * @param refusing whether it refused work and has not reported since
 * @param refusedMillis time of the last refusal
 * @param load last load report of that incarnation
 * @param lastReportMillis time it was last heard from; meaningful only while {@code load} is present
 * @param failures probes and connection attempts that failed in a row
 */
public record Member(
        Instance instance,
        boolean listed,
        long listedMillis,
        long incarnation,
        boolean draining,
        boolean refusing,
        long refusedMillis,
        Optional<LoadReport> load,
        long lastReportMillis,
        int failures) {
    /** Failures in a row after which an instance gets no new work. */
    public static final int MAX_FAILURES = 3;

    // A report that was sent before a refusal can arrive after it.
    private static final long REFUSAL_HOLD_MILLIS = 1000;

    /** Checks the arguments. */
    public Member {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(load, "load is null");
    }

    static Member of(Instance instance, long nowMillis) {
        return new Member(instance, true, nowMillis, 0, false, false, 0, Optional.empty(), nowMillis, 0);
    }

    /**
     * Tells whether new work may be sent to it.
     *
     * @return {@code true} if it is live, was heard from, is ready and neither drains, refuses nor fails
     */
    public boolean accepts() {
        return eligible()
                && !refusing
                && failures < MAX_FAILURES
                && load.map(LoadReport::ready).orElse(false);
    }

    /**
     * Tells whether it may be part of a subset. Failures do not matter, so that short ones do not change subsets.
     *
     * @return {@code true} if it is live and does not drain
     */
    public boolean eligible() {
        return instance.state() == Instance.State.LIVE && !draining;
    }

    Member listed(Instance row, boolean present, long nowMillis) {
        return new Member(
                row,
                present,
                present == listed ? listedMillis : nowMillis,
                incarnation,
                draining,
                refusing,
                refusedMillis,
                load,
                lastReportMillis,
                failures);
    }

    /** Returns the member without what is known of earlier incarnations. */
    Member withIncarnation(long seen) {
        if (seen <= incarnation) {
            return this;
        }
        return new Member(instance, listed, listedMillis, seen, false, false, 0, Optional.empty(), lastReportMillis, 0);
    }

    Member withReport(LoadReport report, long nowMillis) {
        final boolean stillRefusing = refusing && nowMillis - refusedMillis < REFUSAL_HOLD_MILLIS;
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining || report.draining(),
                stillRefusing,
                refusedMillis,
                Optional.of(report),
                nowMillis,
                0);
    }

    Member withDraining() {
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                true,
                refusing,
                refusedMillis,
                load,
                lastReportMillis,
                failures);
    }

    Member withRefusal(long nowMillis) {
        return new Member(
                instance, listed, listedMillis, incarnation, draining, true, nowMillis, load, lastReportMillis, failures);
    }

    Member withFailure() {
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining,
                refusing,
                refusedMillis,
                load,
                lastReportMillis,
                failures + 1);
    }

    Member withoutLoad() {
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining,
                refusing,
                refusedMillis,
                Optional.empty(),
                lastReportMillis,
                failures);
    }
}
