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
 * One version of the configuration, arranged for look-ups.
 *
 * <p>Invariants: among the routes of a host, the one with the longest matching prefix is found; a key belongs to one
 * organisation. Immutable and thread-safe.
 */
public final class RoutingTable {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, KeyOwner> holders;
    private final Map<String, ServicePolicy> services;
    private final RequestLimits limits;
    private final boolean keysRequired;

    private RoutingTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, KeyOwner> holders,
            Map<String, ServicePolicy> services,
            RequestLimits limits,
            boolean keysRequired) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.holders = holders;
        this.services = services;
        this.limits = limits;
        this.keysRequired = keysRequired;
    }

    /**
     * Arranges a configuration.
     *
     * @param version version, which grows with each configuration
     * @param routes all routes
     * @param holders organisations by key
     * @param services services
     * @param limits limits of requests
     * @param keysRequired whether routes that are not open need a key
     * @return the table
     */
    public static RoutingTable of(
            long version,
            Collection<Route> routes,
            Map<String, KeyOwner> holders,
            Collection<ServicePolicy> services,
            RequestLimits limits,
            boolean keysRequired) {
        final Map<String, List<Route>> byHost =
                routes.stream().collect(Collectors.groupingBy(Route::host, HashMap::new, Collectors.toList()));
        final Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.replaceAll((host, list) -> list.stream().sorted(longestFirst).toList());
        return new RoutingTable(
                version,
                byHost,
                Map.copyOf(holders),
                services.stream()
                        .collect(Collectors.toUnmodifiableMap(
                                ServicePolicy::name, service -> service, (first, second) -> second)),
                Objects.requireNonNull(limits, "limits is null"),
                keysRequired);
    }

    /**
     * Returns the version.
     *
     * @return version, which grows with each configuration
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits of requests.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Finds the route of a request.
     *
     * @param host value of the host header, with or without a port
     * @param path path without query
     * @return the route with the longest matching prefix
     */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(withoutPort(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the owner of a key.
     *
     * @param key the key
     * @return its organisation
     */
    public Optional<KeyOwner> keyOwner(String key) {
        return Optional.ofNullable(holders.get(key));
    }

    /**
     * Tells whether a request of a route needs a key.
     *
     * @param route the route
     * @return {@code true} if a request without a known key is refused
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.publicAccess();
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service
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
