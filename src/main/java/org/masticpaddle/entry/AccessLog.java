package org.masticpaddle.entry;

import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.RunState;

/**
 * Writes one line for each request that ended: at DEBUG, or at WARN if its caller was told {@code unknown}. A caller
 * that is gone was told nothing. The
 * identifiers are fields of the line's context. A level that is off costs one check. Thread-safe, having no state.
 */
final class AccessLog {
    private static final Logger LOGGER = LogManager.getLogger(AccessLog.class);

    private AccessLog() {}

    static void answered(CallerRequest request, String attempt, Charge charge, long firstByteNanos, long totalNanos) {
        if (!LOGGER.isDebugEnabled()) {
            return;
        }
        try (CloseableThreadContext.Instance ignored = context(request, attempt)) {
            LOGGER.debug(
                    "answered by {}/{} in {} ms, first byte after {} ms, {} micros",
                    charge.model(),
                    charge.version(),
                    TimeUnit.NANOSECONDS.toMillis(totalNanos),
                    TimeUnit.NANOSECONDS.toMillis(firstByteNanos),
                    charge.billedMicros());
        }
    }

    static void failed(CallerRequest request, String attempt, CallerError refusal) {
        final Level level = level(refusal);
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        try (CloseableThreadContext.Instance ignored = context(request, attempt)) {
            log(level, refusal);
        }
    }

    /** Notes a request that was refused before it had an identifier. */
    static void refused(String method, String path, CallerError refusal) {
        final Level level = level(refusal);
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        try (CloseableThreadContext.Instance ignored =
                CloseableThreadContext.put("method", method).put("path", path)) {
            log(level, refusal);
        }
    }

    private static Level level(CallerError refusal) {
        return refusal.run() == RunState.UNKNOWN && refusal.kind() != CallerError.Kind.CALLER_GONE
                ? Level.WARN
                : Level.DEBUG;
    }

    private static void log(Level level, CallerError refusal) {
        LOGGER.log(
                level,
                "refused as {}, run {}: {}",
                refusal.kind().label(),
                refusal.run().label(),
                refusal.message());
    }

    private static CloseableThreadContext.Instance context(CallerRequest request, String attempt) {
        final CloseableThreadContext.Instance context = CloseableThreadContext.put("request", request.id())
                .put("organisation", request.organisation().name())
                .put("rank", request.rank().label());
        return attempt.isEmpty() ? context : context.put("attempt", attempt);
    }
}
