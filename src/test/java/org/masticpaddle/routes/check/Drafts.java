package org.masticpaddle.routes.check;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;

import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;

/** Builds configurations entry by entry. The names of the fields are those of {@link Field}. Used by one thread. */
final class Drafts {
    private final List<Placed<Route>> routes = new ArrayList<>();
    private final List<Placed<ServicePolicy>> services = new ArrayList<>();
    private final List<Placed<Organisation>> organisations = new ArrayList<>();
    private long version = 7;
    private RequestLimits limits = RequestLimits.DEFAULT;
    private boolean complete = true;

    static FieldNames names() {
        final Map<Field, String> names = new EnumMap<>(Field.class);
        for (final Field field : Field.values()) {
            names.put(field, field.name().toLowerCase(Locale.ROOT));
        }
        return new FieldNames(names);
    }

    /** Returns a configuration without any problem: a plain route, and a stream with two models. */
    static Drafts sound() {
        return new Drafts()
                .route(plain("lookup", "/lookup/", "plain"))
                .route(stream("chat", "/chat/", 3, "small", "large"))
                .service(service("plain"))
                .service(engines("engines", "small", "large"))
                .organisation("north", "key-1")
                .organisation("south", "key-2", "key-3");
    }

    static Route plain(String name, String prefix, String service) {
        final Route route = route(name, prefix, RequestKind.IDEMPOTENT, 1_000, 200, 0, 2);
        return withTargets(route, List.of(new Route.Target(service, 1)), List.of());
    }

    static Route stream(String name, String prefix, int attempts, String... models) {
        final Route route = route(name, prefix, RequestKind.STREAM, 5_000, 1_000, 800, attempts);
        return withTargets(route, List.of(new Route.Target("engines", 1)), List.of(models));
    }

    /** Returns one of many routes with the same address, to the services s0, s1 and so on. */
    static Route sameAddress(int index) {
        final Route route = plain("r" + index, "/same/", "s" + index);
        return withTargets(route, route.targets(), List.of("m0", "m"));
    }

    /** Returns a route of the host a.example to the service plain, whose streams may resume. */
    static Route route(
            String name,
            String prefix,
            RequestKind kind,
            long timeoutMillis,
            long objectiveMillis,
            long gapMillis,
            int attempts) {
        return new Route(
                name,
                "a.example",
                prefix,
                kind,
                kind == RequestKind.STREAM,
                timeoutMillis,
                objectiveMillis,
                gapMillis,
                1,
                false,
                attempts,
                List.of(new Route.Target("plain", 1)),
                List.of());
    }

    static Route withHost(Route route, String host) {
        return copy(route, host, route.targets(), route.modelsBySize());
    }

    static Route withTargets(Route route, List<Route.Target> targets, List<String> models) {
        return copy(route, route.host(), targets, models);
    }

    private static Route copy(Route route, String host, List<Route.Target> targets, List<String> models) {
        return new Route(
                route.name(),
                host,
                route.pathPrefix(),
                route.kind(),
                route.resumable(),
                route.timeoutMillis(),
                route.objectiveMillis(),
                route.maxEventGapMillis(),
                route.rank(),
                route.publicAccess(),
                route.maxAttempts(),
                targets,
                models);
    }

    static ServicePolicy service(String name) {
        return new ServicePolicy(name, 100, 0, 1, Map.of(), 0, 0);
    }

    static ServicePolicy engines(String name, String... models) {
        final Map<String, Double> costs = new HashMap<>();
        for (final String model : models) {
            costs.put(model, 0.5);
        }
        return new ServicePolicy(name, 100, 500_000, 7, costs, 3, 18);
    }

    Drafts version(long value) {
        version = value;
        return this;
    }

    Drafts limits(long maxHeaderBytes, long maxBodyBytes) {
        limits = new RequestLimits(maxHeaderBytes, maxBodyBytes);
        return this;
    }

    Drafts incomplete() {
        complete = false;
        return this;
    }

    Drafts route(Route route) {
        return route(route, written(route));
    }

    private static Set<Field> written(Route route) {
        return EnumSet.complementOf(EnumSet.of(route.targets().size() == 1 ? Field.TARGETS : Field.SERVICE));
    }

    Drafts route(Route route, Set<Field> written) {
        routes.add(new Placed<>("routes[" + routes.size() + "]", written, route));
        return this;
    }

    Drafts replaceRoute(int index, Route route) {
        routes.set(index, new Placed<>(routes.get(index).place(), written(route), route));
        return this;
    }

    Drafts service(ServicePolicy service) {
        services.add(new Placed<>("services[" + services.size() + "]", Set.of(), service));
        return this;
    }

    Drafts organisation(String name, String... keys) {
        final String place = "organisations[" + organisations.size() + "]";
        final List<Placed<KeyDigest>> digests = IntStream.range(0, keys.length)
                .mapToObj(index ->
                        new Placed<>(place + ".keys[" + index + "]", Set.<Field>of(), KeyDigest.of(keys[index])))
                .toList();
        organisations.add(
                new Placed<>(place, Set.of(), new Organisation(new KeyOwner(name, OptionalInt.empty()), digests)));
        return this;
    }

    Drafts withoutOrganisation(int index) {
        organisations.remove(index);
        return this;
    }

    Drafts withoutRoute(int index) {
        routes.remove(index);
        return this;
    }

    Drafts withoutService(int index) {
        services.remove(index);
        return this;
    }

    ConfigurationDraft build() {
        return new ConfigurationDraft(
                names(),
                OptionalLong.of(version),
                routes,
                services,
                Set.of(),
                organisations,
                limits,
                !organisations.isEmpty(),
                complete);
    }
}
