package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/**
 * Decides when and where one partition is read, and folds the pages in order. It has one read under way at a time and
 * ignores the page of a read that it gave up. Not thread-safe.
 */
final class PartitionReader {
    private final ClaimSettings settings;
    private final ClaimLedger ledger;
    private Optional<StartSearch> search = Optional.empty();
    private boolean started;
    private long sequence;
    private boolean reading;
    private boolean lagging;
    private boolean usable = true;
    private long startedMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long tailSequence;
    private long tailMillis = Long.MIN_VALUE;

    PartitionReader(ClaimSettings settings, ClaimLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
    }

    /** One read of the log. A {@code waitMillis} of 0 asks for an answer at once. */
    record Read(long sequence, long from, int limit, long waitMillis) {}

    /** Returns the read to start now, if one is due. */
    Optional<Read> next(boolean wanted, boolean patient, long nowMillis) {
        if (reading && nowMillis - startedMillis >= settings.logTimeoutMillis() + settings.longPollMillis()) {
            failed(sequence, nowMillis);
        }
        final boolean due = wanted || lagging || nowMillis - startedMillis >= settings.idleReadIntervalMillis();
        if (reading || !due || nowMillis < pausedUntilMillis) {
            return Optional.empty();
        }
        if (!started) {
            started = true;
            lagging = true;
            search =
                    Optional.of(new StartSearch(nowMillis - settings.lifetimeMillis() - 2 * ClaimLedger.MARGIN_MILLIS));
        }
        reading = true;
        startedMillis = nowMillis;
        sequence++;
        if (search.isPresent()) {
            return Optional.of(new Read(sequence, search.get().offset(), 1, 0));
        }
        final long wait = wanted && patient && !lagging ? settings.longPollMillis() : 0;
        return Optional.of(new Read(sequence, ledger.next(), settings.maxPageRecords(), wait));
    }

    /** Folds a page and returns the effects in order. */
    List<Fold> done(long readSequence, LogPage page, long nowMillis) {
        if (!reading || readSequence != sequence) {
            return List.of();
        }
        if (search.isPresent()) {
            reading = false;
            search.get().accept(page);
            search.filter(StartSearch::found).ifPresent(found -> {
                ledger.skipTo(found.offset());
                search = Optional.empty();
            });
            return List.of();
        }
        usable = consistent(page);
        if (!usable) {
            failed(readSequence, nowMillis);
            return List.of();
        }
        reading = false;
        ledger.skipTo(page.earliest());
        final List<Fold> folds = new ArrayList<>(page.records().size());
        page.records().forEach(record -> folds.add(ledger.apply(record)));
        lagging = ledger.next() < page.end();
        if (lagging && page.records().isEmpty()) {
            pausedUntilMillis = nowMillis + settings.backoffMillis();
        }
        if (!lagging) {
            tailSequence = sequence;
            tailMillis = startedMillis;
        }
        return folds;
    }

    void failed(long readSequence, long nowMillis) {
        if (reading && readSequence == sequence) {
            reading = false;
            pausedUntilMillis = nowMillis + settings.backoffMillis();
        }
    }

    /** Tells whether the last page could be folded. */
    boolean usable() {
        return usable;
    }

    /** Returns the number of the last read that was started. */
    long sequence() {
        return sequence;
    }

    /** Returns the number of the last read that reached the tail. */
    long tailSequence() {
        return tailSequence;
    }

    /** Returns when the last read that reached the tail was started. */
    long tailMillis() {
        return tailMillis;
    }

    /** A page that ends before the records already folded, or leaves out retained ones, would hide claims. */
    private boolean consistent(LogPage page) {
        long expected = Math.max(ledger.next(), page.earliest());
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
