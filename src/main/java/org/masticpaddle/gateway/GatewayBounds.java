package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.control.StoreCadence;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;

/**
 * Limits that the platform's operator sets for gateways. Immutable.
 *
 * @param keyRevocation time after which a revoked API key must not be accepted, even if the log is unreachable
 * @param drain time after which a draining upstream must get no requests
 * @param settling time after a disturbance, such as a broken connection, within which a gateway must know all changes again
 * @param grace time between the request to stop and the end of the process
 * @param retryShare retries of all gateways together, as a fraction of their requests
 * @param retrySlack retries in a window beyond that fraction, of all gateways together
 * @param retryWindow window in which retries are counted
 * @param exposureShare fraction of a service's requests that a bad version may get during a rollout
 * @param exposureSlack requests that a bad version may get beyond that fraction
 * @param session longest time between two requests of a session
 * @param evacuation time after which an evacuated failure domain must get no requests, 0 if the operator sets none
 * @param coldOverage factor by which a cold upstream may get more requests in a second than it states; 0 for no limit
 * @param coldSlack requests in a second that a cold upstream may get beyond that
 * @param adaptivePace whether the requests of an upstream that has started or recovered are limited by its answers
 */
public record GatewayBounds(
        Duration keyRevocation,
        Duration drain,
        Duration settling,
        Duration grace,
        double retryShare,
        double retrySlack,
        Duration retryWindow,
        double exposureShare,
        double exposureSlack,
        Duration session,
        Duration evacuation,
        double coldOverage,
        double coldSlack,
        boolean adaptivePace) {
    private static final String ADAPTIVE = "adaptive";

    /** Checks the arguments. */
    public GatewayBounds {
        Objects.requireNonNull(keyRevocation, "keyRevocation is null");
        Objects.requireNonNull(drain, "drain is null");
        Objects.requireNonNull(settling, "settling is null");
        Objects.requireNonNull(grace, "grace is null");
        Objects.requireNonNull(retryWindow, "retryWindow is null");
        Objects.requireNonNull(session, "session is null");
        Objects.requireNonNull(evacuation, "evacuation is null");
    }

    /**
     * Reads the limits from the settings.
     *
     * @param settings validated settings of the gateway role
     * @return limits that the settings define
     */
    public static GatewayBounds of(ProcessSettings settings) {
        return new GatewayBounds(
                settings.millis(Setting.KEY_REVOCATION_MS),
                settings.millis(Setting.UPSTREAM_DRAIN_MS),
                settings.millis(Setting.SETTLING_MS),
                settings.decimalSeconds(Setting.GRACE_SECONDS),
                settings.decimal(Setting.RETRY_SHARE),
                settings.decimal(Setting.RETRY_SLACK),
                settings.decimalSeconds(Setting.RETRY_WINDOW_SECONDS),
                settings.share(Setting.EXPOSURE_SHARE),
                settings.decimal(Setting.EXPOSURE_SLACK),
                settings.decimalSeconds(Setting.GATEWAY_SESSION_SECONDS),
                settings.millis(Setting.EVACUATION_MS),
                settings.decimal(Setting.COLD_OVERAGE),
                settings.decimal(Setting.COLD_SLACK),
                settings.text(Setting.PACE).equals(ADAPTIVE));
    }

    /** Returns the timing of the reads of the shared log that these limits permit. */
    StoreCadence storeCadence() {
        return StoreCadence.of(
                keyRevocation, evacuation.isZero() ? Optional.empty() : Optional.of(evacuation), drain, settling);
    }
}
