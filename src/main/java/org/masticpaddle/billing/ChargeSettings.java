package org.masticpaddle.billing;

/**
 * Bounds of the charges of one process. All times are in milliseconds. Immutable and thread-safe.
 *
 * @param batchIntervalMillis time between two appends; a charge is lost if its processes die within it
 * @param maxBatchCharges charges in one append; a larger backlog is appended without a pause
 * @param maxCharges charges that wait or are held at most
 * @param holdMillis time that a sidecar waits for the entry's append
 * @param backoffMillis pause after a failed append
 * @param appendTimeoutMillis time after which an append counts as failed
 */
public record ChargeSettings(
        long batchIntervalMillis, int maxBatchCharges, int maxCharges, long holdMillis, long backoffMillis, long appendTimeoutMillis) {
    /** Checks the arguments. */
    public ChargeSettings {
        if (maxBatchCharges < 1 || maxCharges < 1) {
            throw new IllegalArgumentException("batch and buffer must be above 0");
        }
    }

    /**
     * Returns the settings for a batch interval of 2 s.
     *
     * @return the settings
     */
    public static ChargeSettings standard() {
        return new ChargeSettings(2_000, 512, 65_536, 10_000, 250, 3_000);
    }
}
