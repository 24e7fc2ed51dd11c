package org.masticpaddle.claim;

/**
 * Bounds of the claims of one entry. All times are in milliseconds. Immutable and thread-safe.
 *
 * @param partitions number of partitions, the same on all entries for good: a key's partition depends on it
 * @param lifetimeMillis key lifetime; the log's retention must exceed it by four minutes
 * @param maxKeys keys held for each partition, of about 640 bytes each
 * @param maxAnswerBytes answers of outcomes held for each partition, in bytes
 * @param maxPending requests and records that wait in each partition
 * @param batchIntervalMillis shortest time between two appends to a partition
 * @param maxBatchRecords records in one append
 * @param maxPageRecords records in one read
 * @param longPollMillis longest wait of a read for a record
 * @param idleReadIntervalMillis time between two reads of a partition in which nothing waits; {@link Long#MAX_VALUE} to read a
 *     partition only while a request needs it
 * @param backoffMillis pause after a failed call of the log
 * @param logTimeoutMillis time after which a call of the log counts as failed
 * @param confirmTimeoutMillis longest time after a request's deadline in which the partition is read once more to prove that the
 *     key did not run
 */
public record ClaimSettings(
        int partitions,
        long lifetimeMillis,
        int maxKeys,
        long maxAnswerBytes,
        int maxPending,
        long batchIntervalMillis,
        int maxBatchRecords,
        int maxPageRecords,
        long longPollMillis,
        long idleReadIntervalMillis,
        long backoffMillis,
        long logTimeoutMillis,
        long confirmTimeoutMillis) {
    /** Checks the arguments. */
    public ClaimSettings {
        if (partitions < 1 || lifetimeMillis < 1 || maxKeys < 1 || maxPending < 1 || maxBatchRecords < 1 || maxPageRecords < 1) {
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
