package org.masticpaddle.claim;

/**
 * Limits, intervals and timeouts of the claims of one entry. All times are in milliseconds. Immutable and thread-safe.
 *
 * @param partitions number of partitions; must be the same on all entries and never change, as a key's partition
 *     depends on it
 * @param lifetimeMillis key lifetime; the log's retention must exceed it by four minutes
 * @param maxKeys maximum number of keys tracked in each partition, at about 640 bytes of memory each
 * @param maxAnswerBytes maximum total size of the answers stored in each partition, in bytes
 * @param maxPending maximum number of pending requests in each partition, and of queued records at which an outcome is
 *     rejected; releases are rejected at twice that number
 * @param batchIntervalMillis minimum time between two appends to a partition
 * @param maxBatchRecords maximum number of records in one append
 * @param maxPageRecords maximum number of records in one read
 * @param longPollMillis maximum time that a read waits for a record
 * @param idleReadIntervalMillis time between two reads of a partition without pending requests; {@link Long#MAX_VALUE}
 *     to read a partition only while a request needs it
 * @param backoffMillis pause after a failed log operation
 * @param logTimeoutMillis time after which a log operation counts as failed; a read has {@code longPollMillis} in
 *     addition
 * @param confirmTimeoutMillis maximum time after a request's deadline in which the partition is read once more to prove
 *     that the key did not run
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
        if (partitions < 1
                || lifetimeMillis < 1
                || maxKeys < 1
                || maxPending < 1
                || maxBatchRecords < 1
                || maxPageRecords < 1) {
            throw new IllegalArgumentException("partitions, lifetimeMillis and all maximum numbers must be positive");
        }
    }

    /**
     * Returns the default settings, with a key lifetime of one hour and 16 partitions.
     *
     * @return default settings
     */
    public static ClaimSettings standard() {
        return new ClaimSettings(16, 3_600_000, 8_192, 2 << 20, 1_024, 10, 256, 512, 100, 1_000, 100, 3_000, 300);
    }
}
