package org.masticpaddle.fleet;

import java.net.URI;
import java.util.Objects;

/**
 * An upstream instance as described by its entry in the upstream list. Immutable.
 *
 * @param id identifier of the instance; the instance rejects requests that name another one
 * @param service name of its service
 * @param origin base URI to which requests are sent
 * @param failureDomain failure domain in which it runs
 * @param version version of its software
 * @param slots requests that it can process concurrently
 * @param draining whether it finishes its requests and accepts no new ones
 * @param startMillis start of the instance in milliseconds since 1970; a higher value denotes a later incarnation with
 *     the same identifier
 * @param coldLeftMillis time in milliseconds, from when the entry was written, for which it says that it is cold; 0 if it does
 *     not say so
 */
public record Upstream(
        String id,
        String service,
        URI origin,
        String failureDomain,
        String version,
        int slots,
        boolean draining,
        long startMillis,
        long coldLeftMillis) {
    /** Checks the arguments. */
    public Upstream {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(origin, "origin is null");
        Objects.requireNonNull(failureDomain, "failureDomain is null");
        Objects.requireNonNull(version, "version is null");
    }
}
