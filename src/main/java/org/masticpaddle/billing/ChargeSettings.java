package org.masticpaddle.billing;

/**
 * Limits, intervals and timeouts for the charges of one process. All times are in milliseconds. Immutable and
 * thread-safe.
 *
 * @param batchIntervalMillis time between two appends; a charge is lost if all processes that have it crash within
 *     this time
 * @param maxBatchCharges maximum number of charges in one append; a larger backlog is appended without a pause
 * @param maxCharges maximum number of charges in the buffer: queued, in flight or held
 * @param holdMillis time that a sidecar holds a charge for the entry to append it
 * @param backoffMillis pause after a failed append
 * @param appendTimeoutMillis time after which an append counts as failed
 */
public record ChargeSettings(
        long batchIntervalMillis,
        int maxBatchCharges,
        int maxCharges,
        long holdMillis,
        long backoffMillis,
        long appendTimeoutMillis) {
    /** Checks the arguments. */
    public ChargeSettings {
        if (maxBatchCharges < 1 || maxCharges < 1) {
            throw new IllegalArgumentException("maxBatchCharges and maxCharges must be positive");
        }
    }

    /**
     * Returns the default settings, with a batch interval of 2 s.
     *
     * @return default settings
     */
    public static ChargeSettings standard() {
        return new ChargeSettings(2_000, 512, 65_536, 10_000, 250, 3_000);
    }
}
