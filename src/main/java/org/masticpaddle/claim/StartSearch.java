package org.masticpaddle.claim;

import org.masticpaddle.platform.LogPage;

/**
 * Binary search for the first record of a stream that was appended at or after a time, by reads of one record each.
 * Records of equal offset order and time order are assumed within {@link ClaimLedger#MARGIN_MILLIS}. Not thread-safe.
 */
final class StartSearch {
    private final long startMillis;
    private boolean bounded;
    private long low;
    private long high;

    StartSearch(long startMillis) {
        this.startMillis = startMillis;
    }

    /** Returns the offset to read next, or the result once the search has ended. */
    long offset() {
        return bounded ? low + (high - low) / 2 : 0;
    }

    boolean found() {
        return bounded && low >= high;
    }

    void accept(LogPage page) {
        if (!bounded) {
            bounded = true;
            low = page.earliest();
            high = page.end();
        } else if (page.records().isEmpty()) {
            high = offset();
        } else if (page.records().get(0).timeMillis() < startMillis) {
            low = Math.max(offset(), page.records().get(0).offset()) + 1;
        } else {
            high = offset();
        }
        low = Math.max(low, page.earliest());
        high = Math.max(high, low);
    }
}
