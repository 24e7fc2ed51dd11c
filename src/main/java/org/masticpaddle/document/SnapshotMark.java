package org.masticpaddle.document;

/**
 * Newest snapshot on the log. Immutable and thread-safe.
 *
 * @param upTo offset after the last record that it covers, 0 if there is no snapshot
 * @param timeMillis time of its append, or of the first record if there is no snapshot; negative if there is neither
 */
public record SnapshotMark(long upTo, long timeMillis) {
    /** Neither a snapshot nor a record. */
    public static final SnapshotMark NONE = new SnapshotMark(0, -1);
}
