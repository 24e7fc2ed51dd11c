package org.masticpaddle.billing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;

/**
 * Reads the stream of charges from the earliest retained record to its tail and totals it. A later call continues where
 * the last one ended. Not thread-safe: one call at a time.
 */
public final class ChargeReader {
    private static final int PAGE_RECORDS = 1_000;

    private final EventLog log;
    private final ChargeTotals totals = new ChargeTotals();

    /**
     * Creates a reader.
     *
     * @param log log of the platform
     */
    public ChargeReader(EventLog log) {
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /**
     * Reads up to the tail.
     *
     * @return totals of all charges read so far; fails with the error of the log, after which the call may be repeated
     */
    public CompletableFuture<Map<ChargeTotals.LineItem, ChargeTotals.Total>> readToTail() {
        return readPage().thenCompose(this::applyPage);
    }

    private CompletableFuture<LogPage> readPage() {
        return log.read(ChargeWriter.STREAM, totals.nextOffset(), PAGE_RECORDS, Duration.ZERO);
    }

    private CompletableFuture<Map<ChargeTotals.LineItem, ChargeTotals.Total>> applyPage(LogPage page) {
        page.records().forEach(totals::apply);
        final boolean tail = page.records().isEmpty() || totals.nextOffset() >= page.end();
        return tail
                ? CompletableFuture.completedFuture(totals.totals())
                : readPage().thenComposeAsync(this::applyPage);
    }
}
