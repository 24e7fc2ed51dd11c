package org.masticpaddle.routes.check;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;

/**
 * A configuration as it is written in a file, before the look-ups of a routing table hide what is written twice or has no
 * effect.
 *
 * <p>Invariant: entries with mistakes are left out, and then {@link #complete} is {@code false}. Immutable and thread-safe.
 *
 * @param names names of the fields in the file
 * @param version version of the configuration, empty if it cannot be read
 * @param routes routes in the order of the file
 * @param services services in the order of the file
 * @param unreadServices names of the services that have mistakes
 * @param organisations organisations in the order of the file
 * @param limits size limits of requests
 * @param keysRequired whether requests need a key on routes without public access
 * @param complete whether all entries could be read
 */
public record ConfigurationDraft(
        FieldNames names,
        OptionalLong version,
        List<Placed<Route>> routes,
        List<Placed<ServicePolicy>> services,
        Set<String> unreadServices,
        List<Placed<Organisation>> organisations,
        RequestLimits limits,
        boolean keysRequired,
        boolean complete) {
    /** Checks the arguments and copies the collections. */
    public ConfigurationDraft {
        Objects.requireNonNull(names, "names is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(limits, "limits is null");
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        unreadServices = Set.copyOf(unreadServices);
        organisations = List.copyOf(organisations);
    }
}
