package org.masticpaddle.entry;

import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.RunState;

/**
 * Writes one line for each request that has ended: at level WARN if its caller received the run state {@code unknown},
 * at DEBUG otherwise, also if the caller had disconnected and received nothing. The identifiers are fields of the
 * line's context. A disabled level costs only one check. Stateless.
 */
final class AccessLog {
    private static final Logger LOGGER = LogManager.getLogger(AccessLog.class);

    private AccessLog() {}

    static void logAnswer(
            CallerRequest request, String attemptId, Charge charge, long firstByteNanos, long totalNanos) {
        if (!LOGGER.isDebugEnabled()) {
            return;
        }
        try (CloseableThreadContext.Instance ignored = logContext(request, attemptId)) {
            LOGGER.debug(
                    "answered by {}/{} in {} ms, first byte after {} ms, {} micros",
                    charge.model(),
                    charge.version(),
                    TimeUnit.NANOSECONDS.toMillis(totalNanos),
                    TimeUnit.NANOSECONDS.toMillis(firstByteNanos),
                    charge.billedMicros());
        }
    }

    static void logError(CallerRequest request, String attemptId, CallerError error) {
        final Level level = level(error);
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        try (CloseableThreadContext.Instance ignored = logContext(request, attemptId)) {
            log(level, error);
        }
    }

    /** Logs a request that was rejected before it had an identifier. */
    static void logRejection(String method, String path, CallerError error) {
        final Level level = level(error);
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        try (CloseableThreadContext.Instance ignored =
                CloseableThreadContext.put("method", method).put("path", path)) {
            log(level, error);
        }
    }

    private static Level level(CallerError error) {
        return error.run() == RunState.UNKNOWN && error.kind() != CallerError.Kind.CALLER_GONE
                ? Level.WARN
                : Level.DEBUG;
    }

    private static void log(Level level, CallerError error) {
        LOGGER.log(
                level,
                "ended with error {}, run {}: {}",
                error.kind().label(),
                error.run().label(),
                error.message());
    }

    private static CloseableThreadContext.Instance logContext(CallerRequest request, String attemptId) {
        final CloseableThreadContext.Instance context = CloseableThreadContext.put("request", request.id())
                .put("organisation", request.organisation().name())
                .put("rank", request.rank().label());
        return attemptId.isEmpty() ? context : context.put("attempt", attemptId);
    }
}
