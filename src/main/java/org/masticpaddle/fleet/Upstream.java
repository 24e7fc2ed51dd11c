package org.masticpaddle.fleet;

import java.net.URI;
import java.util.Objects;

/**
 * An upstream as it describes itself. Immutable.
 *
 * @param id identifier of the instance, which it checks on each request
 * @param service name of its service
 * @param origin where it answers
 * @param failureDomain where it runs
 * @param version version of its software
 * @param slots requests that it processes at the same time
 * @param draining whether it finishes its work and takes no more
 * @param startMillis start of the instance in milliseconds since 1970; a higher one is a new life under the same identifier
 */
public record Upstream(
        String id,
        String service,
        URI origin,
        String failureDomain,
        String version,
        int slots,
        boolean draining,
        long startMillis) {
    /** Checks the arguments. */
    public Upstream {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(failureDomain, "failureDomain is null");
        Objects.requireNonNull(version, "version is null");
    }
}
