package org.masticpaddle.entry;

import org.masticpaddle.wire.Charge;

/** Counts what became of requests. Implementations are thread-safe. */
public interface EntryCounters {
    /**
     * Counts a request that got its whole answer.
     *
     * @param request the request
     * @param charge what it cost
     * @param firstByteNanos time from arrival to the first byte of the answer
     * @param totalNanos time from arrival to the end of the answer
     */
    void recordAnswer(CallerRequest request, Charge charge, long firstByteNanos, long totalNanos);

    /**
     * Counts a request that got none.
     *
     * @param request the request
     * @param refusal what it was told
     */
    void recordError(CallerRequest request, CallerError refusal);
}
