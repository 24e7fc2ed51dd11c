package org.masticpaddle.routes;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration, indexed for look-ups.
 *
 * <p>Invariants: among the routes of a host, the one with the longest matching prefix wins; a key belongs to one
 * organisation. Immutable and thread-safe.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, KeyOwner> keyOwners;
    private final Map<String, ServicePolicy> services;
    private final RequestLimits limits;
    private final boolean keysRequired;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, KeyOwner> keyOwners,
            Map<String, ServicePolicy> services,
            RequestLimits limits,
            boolean keysRequired) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.keyOwners = keyOwners;
        this.services = services;
        this.limits = limits;
        this.keysRequired = keysRequired;
    }

    /**
     * Creates the table of a configuration.
     *
     * @param version version of the configuration, which increases with each change
     * @param routes all routes
     * @param keyOwners owners by key
     * @param services all services; of several with the same name, the last one is used
     * @param limits size limits of requests
     * @param keysRequired whether requests need a key on routes without public access
     * @return table of this version
     */
    public static RoutingTable of(
            long version,
            Collection<Route> routes,
            Map<String, KeyOwner> keyOwners,
            Collection<ServicePolicy> services,
            RequestLimits limits,
            boolean keysRequired) {
        final Map<String, List<Route>> byHost =
                routes.stream().collect(Collectors.groupingBy(Route::host, HashMap::new, Collectors.toList()));
        final Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.replaceAll(
                (host, unsorted) -> unsorted.stream().sorted(longestFirst).toList());
        return new RoutingTable(
                version,
                byHost,
                Map.copyOf(keyOwners),
                services.stream()
                        .collect(Collectors.toUnmodifiableMap(
                                ServicePolicy::name, service -> service, (first, second) -> second)),
                Objects.requireNonNull(limits, "limits is null"),
                keysRequired);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return version, which increases with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the size limits of requests.
     *
     * @return limits for all routes
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the host header, with or without a port
     * @param path path without query
     * @return route with the longest matching prefix, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(withoutPort(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the owner of a key.
     *
     * @param key key sent by a caller
     * @return owner, empty if the key is unknown
     */
    public Optional<KeyOwner> keyOwner(String key) {
        return Optional.ofNullable(keyOwners.get(key));
    }

    /**
     * Returns whether the requests of a route need a key.
     *
     * @param route route of the request
     * @return {@code true} if requests without a known key are rejected
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.publicAccess();
    }

    /**
     * Finds the policy of a service.
     *
     * @param name name of the service
     * @return policy, empty if the service is unknown
     */
    public Optional<ServicePolicy> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    private static String withoutPort(String host) {
        final int colon = host.lastIndexOf(':');
        final String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
