package org.masticpaddle.routes.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.masticpaddle.document.Problem;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.ServicePolicy;

/**
 * Finds mistakes between the entries of a configuration, entries without effect and contradictory limits.
 *
 * <p>Invariants: the work grows linearly with the number of entries; no message contains a key. Stateless and thread-safe.
 */
public final class DraftCheck {
    private DraftCheck() {}

    /**
     * Checks a configuration.
     *
     * @param file name of the file for messages
     * @param draft the configuration
     * @param maxBodyBytes largest body that gateways accept by their settings, in bytes
     * @return errors and warnings, in the order of routes, services, organisations and limits
     */
    public static List<Problem> check(String file, ConfigurationDraft draft, long maxBodyBytes) {
        final ProblemList problems = new ProblemList(file);
        final FieldNames names = draft.names();
        checkRouteNames(draft.routes(), names, problems);
        checkPrefixes(draft.routes(), names, problems);
        draft.routes().forEach(route -> {
            checkTargets(route, names, problems);
            checkTimes(route, names, problems);
            checkAttempts(route, names, problems);
        });
        final Reach reach = checkReferences(draft.routes(), draft.services(), draft.unreadServices(), names, problems);
        if (draft.complete()) {
            checkReach(draft.services(), reach, names, problems);
        }
        checkServices(draft.services(), names, problems);
        checkOrganisations(draft.organisations(), names, problems);
        if (draft.limits().maxBodyBytes() > maxBodyBytes) {
            problems.add(
                    Problem.Kind.BODY_LIMIT_OVER_GATEWAY,
                    names.in(names.of(Field.LIMITS), Field.BODY_LIMIT),
                    "at most " + maxBodyBytes + ", above which gateways reject bodies",
                    Long.toString(draft.limits().maxBodyBytes()));
        }
        return problems.toList();
    }

    /**
     * Checks that a configuration replaces the one in force.
     *
     * @param file name of the file for messages
     * @param draft the configuration
     * @param inForce version in force, empty if it is not known
     * @return an error if the version does not rise
     */
    public static List<Problem> checkVersion(String file, ConfigurationDraft draft, OptionalLong inForce) {
        final ProblemList problems = new ProblemList(file);
        if (draft.version().isPresent()
                && inForce.isPresent()
                && draft.version().getAsLong() <= inForce.getAsLong()) {
            problems.add(
                    Problem.Kind.STALE_VERSION,
                    draft.names().of(Field.VERSION),
                    "more than " + inForce.getAsLong() + ", the version in force",
                    Long.toString(draft.version().getAsLong()));
        }
        return problems.toList();
    }

    static void checkRouteNames(Iterable<Placed<Route>> routes, FieldNames names, ProblemList problems) {
        final Map<String, String> places = new HashMap<>();
        for (final Placed<Route> route : routes) {
            if (route.has(Field.ROUTE_NAME)) {
                checkUnique(route.value().name(), names.in(route.place(), Field.ROUTE_NAME), places, problems);
            }
        }
    }

    static void checkPrefixes(Iterable<Placed<Route>> routes, FieldNames names, ProblemList problems) {
        final Map<Address, String> places = new HashMap<>();
        for (final Placed<Route> route : routes) {
            final String host = route.value().host();
            if (host.indexOf(':') >= 0 && !host.endsWith("]")) {
                problems.add(
                        Problem.Kind.UNMATCHABLE_HOST,
                        names.in(route.place(), Field.HOST),
                        "a host without a port, as which all requests are compared",
                        ProblemList.quote(host));
            }
            final String earlier = places.putIfAbsent(Address.of(route.value()), route.place());
            if (earlier != null) {
                problems.add(
                        Problem.Kind.HIDDEN_PREFIX,
                        names.in(route.place(), Field.PATH_PREFIX),
                        "a prefix of its own among the routes of " + ProblemList.quote(host),
                        "that of " + earlier + ", which gets all requests");
            }
        }
    }

    private static void checkTargets(Placed<Route> route, FieldNames names, ProblemList problems) {
        final List<Route.Target> targets = route.value().targets();
        if (targets.stream().noneMatch(target -> target.weight() > 0)) {
            problems.add(
                    Problem.Kind.NO_WEIGHT,
                    names.in(route.place(), Field.TARGETS),
                    "weights that add up to more than 0",
                    "no weight above 0");
            return;
        }
        for (int index = 0; index < targets.size(); index++) {
            if (targets.get(index).weight() <= 0) {
                problems.add(
                        Problem.Kind.WEIGHTLESS_TARGET,
                        targetPlace(route, index, Field.WEIGHT, names),
                        "more than 0",
                        "0, so that service "
                                + ProblemList.quote(targets.get(index).service()) + " gets no requests");
            }
        }
    }

    private static String targetPlace(Placed<Route> route, int index, Field field, FieldNames names) {
        return route.has(Field.TARGETS)
                ? names.in(FieldNames.element(names.in(route.place(), Field.TARGETS), index), field)
                : names.in(route.place(), Field.SERVICE);
    }

    private static void checkTimes(Placed<Route> route, FieldNames names, ProblemList problems) {
        checkTime(
                Problem.Kind.OBJECTIVE_OVER_TIME_LIMIT,
                route,
                Field.OBJECTIVE,
                route.value().objectiveMillis(),
                names,
                problems);
        checkTime(
                Problem.Kind.GAP_OVER_TIME_LIMIT,
                route,
                Field.GAP_OBJECTIVE,
                route.value().maxEventGapMillis(),
                names,
                problems);
    }

    private static void checkTime(
            Problem.Kind kind, Placed<Route> route, Field field, long millis, FieldNames names, ProblemList problems) {
        final long timeoutMillis = route.value().timeoutMillis();
        if (millis > timeoutMillis) {
            problems.add(
                    kind,
                    names.in(route.place(), field),
                    "at most " + timeoutMillis + ", the " + defaultMark(route, Field.TIME_LIMIT)
                            + names.of(Field.TIME_LIMIT),
                    defaultMark(route, field) + millis);
        }
    }

    private static String defaultMark(Placed<Route> route, Field field) {
        return route.has(field) ? "" : "default ";
    }

    private static void checkAttempts(Placed<Route> route, FieldNames names, ProblemList problems) {
        final Route value = route.value();
        final boolean escalates = value.modelsBySize().size() > 1;
        final int needed = escalates ? 3 : 2;
        if (value.kind() == RequestKind.STREAM && value.resumable() && value.maxAttempts() < needed) {
            problems.add(
                    Problem.Kind.TOO_FEW_ATTEMPTS,
                    names.in(route.place(), Field.ATTEMPTS),
                    "at least " + needed + ", with which a stream "
                            + (escalates ? "of a second model " : "")
                            + "can resume at another upstream",
                    Integer.toString(value.maxAttempts()));
        }
    }

    /** Reports services and models that are not declared. Returns those that the routes lead to. */
    static Reach checkReferences(
            Iterable<Placed<Route>> routes,
            Iterable<Placed<ServicePolicy>> services,
            Set<String> unreadServices,
            FieldNames names,
            ProblemList problems) {
        final Map<String, Set<String>> servicesByModel = new HashMap<>();
        final Set<String> declared = new LinkedHashSet<>();
        for (final Placed<ServicePolicy> service : services) {
            final String name = service.value().name();
            declared.add(name);
            service.value()
                    .modelCosts()
                    .keySet()
                    .forEach(model -> servicesByModel
                            .computeIfAbsent(model, ignored -> new HashSet<>())
                            .add(name));
        }
        final Reach reach = new Reach();
        final Suggestions serviceNames = new Suggestions(declared);
        final Suggestions modelNames = new Suggestions(servicesByModel.keySet());
        for (final Placed<Route> route : routes) {
            final List<Route.Target> targets = route.value().targets();
            for (int index = 0; index < targets.size(); index++) {
                final String service = targets.get(index).service();
                if (!declared.contains(service) && !unreadServices.contains(service)) {
                    problems.add(
                            Problem.Kind.UNKNOWN_REFERENCE,
                            targetPlace(route, index, Field.TARGET_SERVICE, names),
                            "a service of " + names.of(Field.SERVICES),
                            ProblemList.quote(service),
                            serviceNames.nearest(service));
                }
            }
            checkModels(route, declared, servicesByModel, reach, modelNames, names, problems);
        }
        return reach;
    }

    /** Reports models that none of a route's services offers, unless one of the services is not known. */
    private static void checkModels(
            Placed<Route> route,
            Set<String> declared,
            Map<String, Set<String>> servicesByModel,
            Reach reach,
            Suggestions suggestions,
            FieldNames names,
            ProblemList problems) {
        final Set<String> targets = route.value().targets().stream()
                .filter(target -> target.weight() > 0)
                .map(Route.Target::service)
                .collect(Collectors.toSet());
        reach.services.addAll(targets);
        final List<String> models = route.value().modelsBySize();
        if (models.isEmpty()) {
            reach.servicesOfAnyModel.addAll(targets);
            return;
        }
        // Targets that are not known, or without any weight, are reported as such.
        final boolean known = !targets.isEmpty() && declared.containsAll(targets);
        final Set<String> seen = new HashSet<>();
        for (int index = 0; index < models.size(); index++) {
            final String model = models.get(index);
            if (!seen.add(model)) {
                problems.add(
                        Problem.Kind.DUPLICATE_NAME,
                        modelPlace(route, index, names),
                        "each model once",
                        ProblemList.quote(model));
                continue;
            }
            final List<String> offering = intersection(servicesByModel.getOrDefault(model, Set.of()), targets);
            offering.forEach(service -> reach.models
                    .computeIfAbsent(service, ignored -> new HashSet<>())
                    .add(model));
            if (known && offering.isEmpty()) {
                final boolean offered = servicesByModel.containsKey(model);
                problems.add(
                        Problem.Kind.UNKNOWN_REFERENCE,
                        modelPlace(route, index, names),
                        "a model of the route's services",
                        ProblemList.quote(model) + (offered ? ", which only other services offer" : ""),
                        offered ? "" : suggestions.nearest(model));
            }
        }
    }

    private static String modelPlace(Placed<Route> route, int index, FieldNames names) {
        return FieldNames.element(names.in(route.place(), Field.ROUTE_MODELS), index);
    }

    private static List<String> intersection(Set<String> first, Set<String> second) {
        final Set<String> smaller = first.size() < second.size() ? first : second;
        final Set<String> larger = smaller == first ? second : first;
        return smaller.stream().filter(larger::contains).toList();
    }

    static void checkReach(
            Iterable<Placed<ServicePolicy>> services, Reach reach, FieldNames names, ProblemList problems) {
        for (final Placed<ServicePolicy> service : services) {
            final String name = service.value().name();
            if (!reach.services.contains(name)) {
                problems.add(
                        Problem.Kind.UNREACHED_SERVICE,
                        names.in(service.place(), Field.SERVICE_NAME),
                        "a service that a route leads to",
                        ProblemList.quote(name));
            } else if (!reach.servicesOfAnyModel.contains(name)) {
                final Set<String> reached = reach.models.getOrDefault(name, Set.of());
                service.value().modelCosts().keySet().stream()
                        .filter(model -> !reached.contains(model))
                        .sorted()
                        .forEach(model -> problems.add(
                                Problem.Kind.UNREACHED_MODEL,
                                names.in(service.place(), Field.SERVICE_MODELS),
                                "models that a route to " + ProblemList.quote(name) + " selects",
                                ProblemList.quote(model)));
            }
        }
    }

    static void checkServices(Iterable<Placed<ServicePolicy>> services, FieldNames names, ProblemList problems) {
        final Map<String, String> places = new HashMap<>();
        for (final Placed<ServicePolicy> service : services) {
            final ServicePolicy policy = service.value();
            checkUnique(policy.name(), names.in(service.place(), Field.SERVICE_NAME), places, problems);
            if (policy.coldSeconds() > 0 && policy.coldRequestsPerSecond() <= 0) {
                problems.add(
                        Problem.Kind.UNLIMITED_COLD_TIME,
                        names.in(service.place(), Field.COLD_RATE),
                        "more than 0 beside a " + names.of(Field.COLD_TIME) + " of " + policy.coldSeconds(),
                        "0, with which cold upstreams get requests without a limit");
            }
        }
    }

    static void checkOrganisations(
            Iterable<Placed<Organisation>> organisations, FieldNames names, ProblemList problems) {
        final Map<String, String> places = new HashMap<>();
        final Map<KeyDigest, KeyPlace> keyPlaces = new HashMap<>();
        for (final Placed<Organisation> organisation : organisations) {
            final String name = organisation.value().name();
            checkUnique(name, names.in(organisation.place(), Field.ORGANISATION_NAME), places, problems);
            if (organisation.value().keys().isEmpty()) {
                problems.add(
                        Problem.Kind.ORGANISATION_WITHOUT_KEYS,
                        names.in(organisation.place(), Field.KEYS),
                        "at least one key, without which " + ProblemList.quote(name) + " cannot send requests",
                        "none");
            }
            for (final Placed<KeyDigest> key : organisation.value().keys()) {
                final KeyPlace earlier = keyPlaces.putIfAbsent(key.value(), new KeyPlace(name, key.place()));
                if (earlier == null) {
                    continue;
                }
                final boolean same = earlier.organisation.equals(name);
                problems.add(
                        same ? Problem.Kind.REPEATED_KEY : Problem.Kind.DUPLICATE_CREDENTIAL,
                        key.place(),
                        same ? "each key once" : "a key of one organisation only",
                        "the key of " + earlier.place
                                + (same ? "" : ", which belongs to " + ProblemList.quote(earlier.organisation)));
            }
        }
    }

    private static void checkUnique(String name, String place, Map<String, String> places, ProblemList problems) {
        final String earlier = places.putIfAbsent(name, place);
        if (earlier != null) {
            problems.add(
                    Problem.Kind.DUPLICATE_NAME, place, "a unique name", ProblemList.quote(name) + " as in " + earlier);
        }
    }

    /** What the routes lead to. */
    static final class Reach {
        private final Set<String> services = new HashSet<>();
        private final Set<String> servicesOfAnyModel = new HashSet<>();
        private final Map<String, Set<String>> models = new HashMap<>();
    }

    private record KeyPlace(String organisation, String place) {}
}
