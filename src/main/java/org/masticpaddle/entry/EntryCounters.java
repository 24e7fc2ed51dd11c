package org.masticpaddle.entry;

import org.masticpaddle.wire.Charge;

/** Counts the requests of an entry by their result. Implementations are thread-safe. */
public interface EntryCounters {
    /**
     * Counts a request whose answer was delivered completely.
     *
     * @param request the answered request
     * @param charge charge for the answer
     * @param firstByteNanos nanoseconds from the arrival to the first byte of the answer
     * @param totalNanos nanoseconds from the arrival to the end of the answer
     */
    void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos);

    /**
     * Counts a request that ended with an error.
     *
     * @param request the failed request
     * @param error the error, which its caller got unless it had disconnected
     */
    void recordError(CallerRequest request, CallerError error);
}
