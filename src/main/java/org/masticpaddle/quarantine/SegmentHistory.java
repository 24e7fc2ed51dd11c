package org.masticpaddle.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which answers to requests with a segment last went on, for the segments used most recently.
 *
 * <p>Invariant: at most {@link #MAX_SEGMENTS} segments are kept. Not thread-safe: confined to the thread of its owner.
 */
final class SegmentHistory {
    /** Maximum number of segments that are kept. */
    static final int MAX_SEGMENTS = 4_096;
    /** Time for which an answer that went on shows that a segment is harmless. */
    static final long ESTABLISHED_MILLIS = 10_000;

    private final Map<SegmentKey, Long> progressMillis = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SegmentKey, Long> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    void recordProgress(SegmentKey segment, long nowMillis) {
        progressMillis.put(segment, nowMillis);
    }

    /** Returns whether an answer to a request with the segment went on a short time ago. */
    boolean established(SegmentKey segment, long nowMillis) {
        final Long last = progressMillis.get(segment);
        return last != null && nowMillis - last < ESTABLISHED_MILLIS;
    }
}
