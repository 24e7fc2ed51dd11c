package org.masticpaddle.sidecar;

import java.util.Objects;

/**
 * Identity of a sidecar as the issuer of orders to its engine. Immutable.
 *
 * @param service service of the engine in the instance list
 * @param instance identifier of the sidecar's instance
 * @param fencingToken token of the orders, which increases with each start of a sidecar in the same deployment slot
 */
record EngineIdentity(String service, String instance, long fencingToken) {
    EngineIdentity {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(instance, "instance is null");
    }
}
