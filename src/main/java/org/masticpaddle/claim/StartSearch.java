package org.masticpaddle.claim;

import org.masticpaddle.platform.LogPage;

/**
 * Binary search for the first record of a stream that was appended at or after a time, with reads of one record each.
 * Assumes that append times increase with offsets to within {@link ClaimLedger#CLOCK_SKEW_MARGIN_MILLIS}. Not
 * thread-safe.
 */
final class StartSearch {
    private final long startMillis;
    private boolean hasBounds;
    private long low;
    private long high;

    StartSearch(long startMillis) {
        this.startMillis = startMillis;
    }

    /** Returns the offset to read next, or the offset of the first record once {@link #isFound()}. */
    long nextOffset() {
        return hasBounds ? low + (high - low) / 2 : 0;
    }

    boolean isFound() {
        return hasBounds && low >= high;
    }

    void accept(LogPage page) {
        if (!hasBounds) {
            hasBounds = true;
            low = page.earliest();
            high = page.end();
        } else if (page.records().isEmpty()) {
            high = nextOffset();
        } else if (page.records().get(0).timeMillis() < startMillis) {
            low = Math.max(nextOffset(), page.records().get(0).offset()) + 1;
        } else {
            high = nextOffset();
        }
        low = Math.max(low, page.earliest());
        high = Math.max(high, low);
    }
}
