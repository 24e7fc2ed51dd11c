package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.masticpaddle.control.HistoryChange;
import org.masticpaddle.control.KeyedFollower;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;

/**
 * Listener that writes the outages of a stream to the decision log and passes all events on.
 *
 * <p>Invariant: each line about the end of an outage follows one about its start, except for the first response. Used on the event
 * loop only.
 */
final class LoggedStream implements KeyedFollower.Listener {
    private final LogStream stream;
    private final String dependency;
    private final KeyedFollower.Listener listener;
    private final LongSupplier nanos;
    private final DecisionLog log;
    private OptionalLong lostNanos = OptionalLong.empty();

    /**
     * Creates a listener of a stream that has not responded yet.
     *
     * @param stream stream that is followed
     * @param dependency name of the stream in the log
     * @param listener receives all events
     * @param nanos clock in nanoseconds
     * @param log decision log
     */
    LoggedStream(
            LogStream stream, String dependency, KeyedFollower.Listener listener, LongSupplier nanos, DecisionLog log) {
        this.stream = Objects.requireNonNull(stream, "stream is null");
        this.dependency = Objects.requireNonNull(dependency, "dependency is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.nanos = Objects.requireNonNull(nanos, "nanos is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    @Override
    public void onRecord(KeyedRecord keyedRecord) {
        listener.onRecord(keyedRecord);
    }

    @Override
    public void onCaughtUp(long confirmedNanos) {
        listener.onCaughtUp(confirmedNanos);
    }

    @Override
    public void onUnavailable(String reason) {
        lostNanos = OptionalLong.of(nanos.getAsLong());
        log.write(Decision.DEPENDENCY_LOST, "dependency", dependency, "reason", reason);
        listener.onUnavailable(reason);
    }

    @Override
    public void onAvailable() {
        log.write(
                Decision.DEPENDENCY_RECOVERED,
                "dependency",
                dependency,
                "outage_ms",
                lostNanos.isPresent() ? (nanos.getAsLong() - lostNanos.getAsLong()) / 1e6 : null);
        lostNanos = OptionalLong.empty();
        listener.onAvailable();
    }

    @Override
    public void onHistoryLost() {
        log.write(Decision.HISTORY_LOST, "stream", stream);
        listener.onHistoryLost();
    }

    @Override
    public void onHistoryReplaced(HistoryChange change) {
        log.write(
                Decision.LOG_RESTORED,
                "stream",
                stream,
                "era_before",
                named(change.eraBefore()),
                "era",
                named(change.era()),
                "position_before",
                change.positionBefore(),
                "end",
                change.endOffset());
        listener.onHistoryReplaced(change);
    }

    @Override
    public void onRestoreSettled() {
        listener.onRestoreSettled();
    }

    private static Long named(long era) {
        return era == SharedLog.NO_ERA ? null : era;
    }
}
