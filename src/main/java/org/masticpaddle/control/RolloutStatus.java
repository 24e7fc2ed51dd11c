package org.masticpaddle.control;

import java.util.Objects;

/**
 * Status of a roll-out as gateways agreed on it. Immutable.
 *
 * @param service name of the service
 * @param version version to move to
 * @param order identifier of the order
 * @param progress how far it is
 */
public record RolloutStatus(String service, String version, long order, RolloutProgress progress) {
    /** Checks the arguments. */
    public RolloutStatus {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(progress, "progress is null");
    }
}
