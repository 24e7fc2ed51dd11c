package org.masticpaddle.claim;

/**
 * Bounds of the claims of one entry. All times are in milliseconds. Immutable and thread-safe.
 *
 * @param partitions number of partitions, the same on all entries for good: a key's partition depends on it
 * @param lifetimeMillis key lifetime; the log's retention must exceed it by four minutes
 * @param maxKeys keys held for each partition, of about 640 bytes each
 * @param maxAnswerBytes answers of outcomes held for each partition, in bytes
 * @param maxWaiting requests and records that wait in each partition
 * @param batchMillis shortest time between two appends to a partition
 * @param maxBatch records in one append
 * @param pageRecords records in one read
 * @param pollMillis longest wait of a read for a record
 * @param idleMillis time between two reads of a partition in which nothing waits; {@link Long#MAX_VALUE} to read a
 *     partition only while a request needs it
 * @param backoffMillis pause after a failed call of the log
 * @param callMillis time after which a call of the log counts as failed
 * @param confirmMillis longest time after a request's deadline in which the partition is read once more to prove that the
 *     key did not run
 */
public record ClaimSettings(
        int partitions,
        long lifetimeMillis,
        int maxKeys,
        long maxAnswerBytes,
        int maxWaiting,
        long batchMillis,
        int maxBatch,
        int pageRecords,
        long pollMillis,
        long idleMillis,
        long backoffMillis,
        long callMillis,
        long confirmMillis) {
    /** Checks the arguments. */
    public ClaimSettings {
        if (partitions < 1 || lifetimeMillis < 1 || maxKeys < 1 || maxWaiting < 1 || maxBatch < 1 || pageRecords < 1) {
            throw new IllegalArgumentException("partitions, lifetime, sizes and bounds must be above 0");
        }
    }

    /**
     * Returns the settings for a key lifetime of one hour and 16 partitions.
     *
     * @return the settings
     */
    public static ClaimSettings standard() {
        return new ClaimSettings(16, 3_600_000, 8_192, 2 << 20, 1_024, 10, 256, 512, 100, 1_000, 100, 3_000, 300);
    }
}
