package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/**
 * Decides when and at which offset one partition is read, and applies the pages to the ledger in order. At most one
 * read is in flight; the page of a read that timed out is ignored. Not thread-safe.
 */
final class PartitionReader {
    private final ClaimSettings settings;
    private final ClaimLedger ledger;
    private Optional<StartSearch> startSearch = Optional.empty();
    private boolean started;
    private long sequence;
    private boolean readInFlight;
    private boolean lagging;
    private boolean lastPageConsistent = true;
    private long readStartedMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long tailSequence;
    private long tailReadMillis = Long.MIN_VALUE;

    PartitionReader(ClaimSettings settings, ClaimLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
    }

    /** One read of the log. A {@code waitMillis} of 0 requests a response at once, a larger one a long poll. */
    record Read(long sequence, long from, int limit, long waitMillis) {}

    /**
     * Returns the read to start now, if one is due.
     *
     * @param needed whether a pending request or release needs a read
     * @param longPoll whether the read may wait for new records
     */
    Optional<Read> nextRead(boolean needed, boolean longPoll, long nowMillis) {
        if (readInFlight && nowMillis - readStartedMillis >= settings.logTimeoutMillis() + settings.longPollMillis()) {
            failRead(sequence, nowMillis);
        }
        final boolean due = needed || lagging || nowMillis - readStartedMillis >= settings.idleReadIntervalMillis();
        if (readInFlight || !due || nowMillis < pausedUntilMillis) {
            return Optional.empty();
        }
        if (!started) {
            started = true;
            lagging = true;
            startSearch = Optional.of(
                    new StartSearch(nowMillis - settings.lifetimeMillis() - 2 * ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS));
        }
        readInFlight = true;
        readStartedMillis = nowMillis;
        sequence++;
        if (startSearch.isPresent()) {
            return Optional.of(new Read(sequence, startSearch.get().nextOffset(), 1, 0));
        }
        final long wait = needed && longPoll && !lagging ? settings.longPollMillis() : 0;
        return Optional.of(new Read(sequence, ledger.nextOffset(), settings.maxPageRecords(), wait));
    }

    /** Applies the records of a page and returns their results in log order. */
    List<ApplyResult> completeRead(long readSequence, LogPage page, long nowMillis) {
        if (!readInFlight || readSequence != sequence) {
            return List.of();
        }
        if (startSearch.isPresent()) {
            readInFlight = false;
            startSearch.get().accept(page);
            startSearch.filter(StartSearch::isFound).ifPresent(found -> {
                ledger.skipTo(found.nextOffset());
                startSearch = Optional.empty();
            });
            return List.of();
        }
        lastPageConsistent = isConsistent(page);
        if (!lastPageConsistent) {
            failRead(readSequence, nowMillis);
            return List.of();
        }
        readInFlight = false;
        ledger.skipTo(page.earliest());
        final List<ApplyResult> results = new ArrayList<>(page.records().size());
        page.records().forEach(record -> results.add(ledger.apply(record)));
        lagging = ledger.nextOffset() < page.end();
        if (lagging && page.records().isEmpty()) {
            pausedUntilMillis = nowMillis + settings.backoffMillis();
        }
        if (!lagging) {
            tailSequence = sequence;
            tailReadMillis = readStartedMillis;
        }
        return results;
    }

    void failRead(long readSequence, long nowMillis) {
        if (readInFlight && readSequence == sequence) {
            readInFlight = false;
            pausedUntilMillis = nowMillis + settings.backoffMillis();
        }
    }

    /** Returns whether the last page was consistent with the records applied before. */
    boolean lastPageConsistent() {
        return lastPageConsistent;
    }

    /** Returns the sequence number of the last read that was started. */
    long sequence() {
        return sequence;
    }

    /** Returns the sequence number of the last read that reached the tail, 0 if there is none. */
    long tailSequence() {
        return tailSequence;
    }

    /** Returns the start time of the last read that reached the tail, in milliseconds since 1970. */
    long tailReadMillis() {
        return tailReadMillis;
    }

    /**
     * Returns false for a page that ends before the records already applied or omits retained ones: it would hide
     * claims.
     */
    private boolean isConsistent(LogPage page) {
        long expected = Math.max(ledger.nextOffset(), page.earliest());
        if (page.end() < expected) {
            return false;
        }
        for (final LogRecord record : page.records()) {
            if (record.offset() > expected || record.offset() >= page.end()) {
                return false;
            }
            expected = Math.max(expected, record.offset() + 1);
        }
        return true;
    }
}
