package org.masticpaddle.billing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.LogPage;

/**
 * Reads the stream of charges from the earliest retained record to its tail and computes the totals. Each call
 * continues where the previous one ended. Not thread-safe; calls must not overlap.
 */
public final class ChargeReader {
    /** Maximum number of records in one read. */
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
     * Reads all charges up to the tail.
     *
     * @return totals of all charges read so far; completes exceptionally if a read of the log fails, after which the
     *     call may be retried
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
