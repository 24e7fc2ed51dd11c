package org.masticpaddle.document;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link ConfigurationService}. Immutable and thread-safe.
 *
 * @param self origin of this process as other entries know it
 * @param retention time for which the log keeps a record
 * @param readWait longest time that a read of the log waits for a record
 * @param pollInterval time between two questions to other entries, when pulling from them
 * @param callTimeout time after which a call without an answer has failed, beyond {@code readWait}
 */
public record ConfigurationSettings(
        URI self, Duration retention, Duration readWait, Duration pollInterval, Duration callTimeout) {
    /** Checks the arguments. */
    public ConfigurationSettings {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(readWait, "readWait is null");
        Objects.requireNonNull(pollInterval, "pollInterval is null");
        Objects.requireNonNull(callTimeout, "callTimeout is null");
    }

    /**
     * Returns the usual settings: reads wait 5 s, entries are asked every 2 s, and calls fail after 5 s.
     *
     * @param self origin of this process as other entries know it
     * @param retention time for which the log keeps a record
     * @return the settings
     */
    public static ConfigurationSettings of(URI self, Duration retention) {
        return new ConfigurationSettings(
                self, retention, Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(5));
    }
}
