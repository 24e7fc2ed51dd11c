package org.masticpaddle.sidecar;

import java.util.Objects;

/**
 * Which engine a sidecar keeps, and as which issuer of orders. Immutable.
 *
 * @param service service of the engine in the instance list
 * @param instance instance of the sidecar
 * @param fencingToken token that grows with each start of a sidecar in the slot
 */
record EngineIdentity(String service, String instance, long fencingToken) {
    EngineIdentity {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(instance, "instance is null");
    }
}
