package org.masticpaddle.membership;

import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.LoadReport;

/**
 * State of one instance as seen by this process: its row of the instance list and its latest observations. Immutable
 * and thread-safe. All times are in milliseconds of the process's clock.
 *
 * @param instance latest row of the instance list
 * @param listed whether the list still contains the instance
 * @param listedMillis time at which {@code listed} last changed
 * @param incarnation highest incarnation seen, 0 if none
 * @param draining whether that incarnation is draining; once set, it stays set for the incarnation
 * @param rejecting whether the instance rejected a request and has sent no load report 1 s or more after that
 * @param rejectedMillis time of the last rejection
 * @param load last load report of that incarnation, empty if there is none or it has expired
 * @param lastReportMillis time of the last load report; meaningful only while {@code load} is present
 * @param failures number of consecutive failed probes and connection attempts
 */
public record Member(
        Instance instance,
        boolean listed,
        long listedMillis,
        long incarnation,
        boolean draining,
        boolean rejecting,
        long rejectedMillis,
        Optional<LoadReport> load,
        long lastReportMillis,
        int failures) {
    /** Number of consecutive failures after which an instance gets no new requests. */
    public static final int MAX_FAILURES = 3;

    // A load report within this time after a rejection may have been sent before it and does not clear the rejection.
    private static final long REJECTION_HOLD_MILLIS = 1000;

    /** Checks the arguments. */
    public Member {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(load, "load is null");
    }

    static Member of(Instance instance, long nowMillis) {
        return new Member(instance, true, nowMillis, 0, false, false, 0, Optional.empty(), nowMillis, 0);
    }

    /**
     * Returns whether new requests may be sent to the instance.
     *
     * @return {@code true} if it is live, has reported that it is ready, and is neither draining, rejecting nor failing
     */
    public boolean accepts() {
        return eligible()
                && !rejecting
                && failures < MAX_FAILURES
                && load.map(LoadReport::ready).orElse(false);
    }

    /**
     * Returns whether subsets may contain the instance. Failures are ignored, so that short ones do not change subsets.
     *
     * @return {@code true} if it is live and not draining
     */
    public boolean eligible() {
        return instance.state() == Instance.State.LIVE && !draining;
    }

    Member withListing(Instance row, boolean nowListed, long nowMillis) {
        return new Member(
                row,
                nowListed,
                nowListed == listed ? listedMillis : nowMillis,
                incarnation,
                draining,
                rejecting,
                rejectedMillis,
                load,
                lastReportMillis,
                failures);
    }

    /** Returns the member at an incarnation; a newer one resets the state of earlier incarnations. */
    Member withIncarnation(long newIncarnation) {
        if (newIncarnation <= incarnation) {
            return this;
        }
        return new Member(
                instance, listed, listedMillis, newIncarnation, false, false, 0, Optional.empty(), lastReportMillis, 0);
    }

    Member withReport(LoadReport report, long nowMillis) {
        final boolean stillRejecting = rejecting && nowMillis - rejectedMillis < REJECTION_HOLD_MILLIS;
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining || report.draining(),
                stillRejecting,
                rejectedMillis,
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
                rejecting,
                rejectedMillis,
                load,
                lastReportMillis,
                failures);
    }

    Member withRejection(long nowMillis) {
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining,
                true,
                nowMillis,
                load,
                lastReportMillis,
                failures);
    }

    Member withFailure() {
        return new Member(
                instance,
                listed,
                listedMillis,
                incarnation,
                draining,
                rejecting,
                rejectedMillis,
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
                rejecting,
                rejectedMillis,
                Optional.empty(),
                lastReportMillis,
                failures);
    }
}
