package org.masticpaddle.document;

/**
 * Offset and time of the newest snapshot on the log. Immutable and thread-safe.
 *
 * @param upTo offset after the last record that the snapshot covers, 0 if there is no snapshot
 * @param timeMillis time of the append of the snapshot, or of the first record if there is no snapshot, in milliseconds
 *     since 1970; negative if there is neither
 */
public record SnapshotMark(long upTo, long timeMillis) {
    /** Mark of a log without snapshots and records. */
    public static final SnapshotMark NONE = new SnapshotMark(0, -1);
}
