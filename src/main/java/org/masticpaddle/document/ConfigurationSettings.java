package org.masticpaddle.document;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link ConfigurationService}. Immutable and thread-safe.
 *
 * @param self origin of this process as listed by other entries
 * @param retention time for which the log keeps a record
 * @param readWait long-poll timeout of a read of the log
 * @param pollInterval maximum time between two requests to other entries, when polling them; jitter shortens it by up
 *     to half
 * @param requestTimeout time without a response after which a request fails, in addition to {@code readWait}
 */
public record ConfigurationSettings(
        URI self, Duration retention, Duration readWait, Duration pollInterval, Duration requestTimeout) {
    /** Checks the arguments. */
    public ConfigurationSettings {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(readWait, "readWait is null");
        Objects.requireNonNull(pollInterval, "pollInterval is null");
        Objects.requireNonNull(requestTimeout, "requestTimeout is null");
    }

    /**
     * Returns the default settings: a long-poll timeout of 5 s, a poll interval of 2 s and a request timeout of 5 s.
     *
     * @param self origin of this process as listed by other entries
     * @param retention time for which the log keeps a record
     * @return settings with the default intervals and timeouts
     */
    public static ConfigurationSettings of(URI self, Duration retention) {
        return new ConfigurationSettings(
                self, retention, Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(5));
    }
}
