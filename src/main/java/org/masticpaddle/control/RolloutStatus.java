package org.masticpaddle.control;

import java.util.Objects;

/**
 * Status of a rollout on which the gateways have agreed. Immutable and thread-safe.
 *
 * @param service name of the service
 * @param version target version
 * @param order identifier of the rollout order
 * @param progress progress of the rollout
 */
public record RolloutStatus(String service, String version, long order, RolloutProgress progress) {
    /** Rejects null arguments. */
    public RolloutStatus {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(progress, "progress is null");
    }
}
