package org.masticpaddle.routes.check;

import java.util.EnumMap;
import java.util.Map;

import static org.masticpaddle.routes.check.Effect.IRREVERSIBLE;
import static org.masticpaddle.routes.check.Effect.REQUESTS_IN_FLIGHT;
import static org.masticpaddle.routes.check.Effect.SESSIONS;

/**
 * What a change of a configuration concerns, and what it means while gateways are in use. A request keeps the configuration
 * by which it was admitted, that is, after its body was read, until its final answer. Immutable.
 */
public enum Aspect {
    /** The version rises. */
    VERSION(
            IRREVERSIBLE,
            "gateways ignore lower versions: an earlier configuration returns only with a higher version"),
    /** A route is added. */
    ROUTE_ADDED(
            SESSIONS,
            "requests below the prefix of a new route leave the route with the next shorter prefix, also within a session"),
    /** A route is removed. */
    ROUTE_REMOVED(
            REQUESTS_IN_FLIGHT,
            "admitted requests of a removed route end as before; one whose body is still being read gets 404, "
                    + "or the route with the next shorter prefix",
            SESSIONS,
            "the next request of a session of a removed route gets 404, or the route with the next shorter prefix",
            IRREVERSIBLE,
            "callers do not repeat a request that got 404"),
    /** The services of a route, or their weights, change. */
    TARGETS(
            REQUESTS_IN_FLIGHT,
            "admitted requests keep the service that was selected for them, also for further attempts",
            SESSIONS,
            "the next request of a session may go to another service, whose engines have to read its prompt again",
            IRREVERSIBLE,
            "what ran at another service stays done"),
    /** The time limit of a route changes. */
    TIME_LIMIT(REQUESTS_IN_FLIGHT, "admitted requests keep their time limit"),
    /** A latency objective of a route changes. */
    OBJECTIVE(REQUESTS_IN_FLIGHT, "admitted requests are placed by the old objective"),
    /** The rank of requests changes. */
    RANK(REQUESTS_IN_FLIGHT, "admitted requests keep their rank, also while they wait"),
    /** The number of attempts changes. */
    ATTEMPTS(REQUESTS_IN_FLIGHT, "admitted requests keep their number of attempts"),
    /** Whether requests may be repeated, or how they are answered, changes. */
    KIND(
            REQUESTS_IN_FLIGHT,
            "admitted requests are repeated and answered by the old kind",
            IRREVERSIBLE,
            "a request that was repeated under the new kind may have run twice"),
    /** A route needs no key any more, or needs one. */
    ACCESS(
            REQUESTS_IN_FLIGHT,
            "admitted requests end as before; one whose body is still being read may get 401",
            SESSIONS,
            "the next request of a session without a key gets 401 on a route that needs one",
            IRREVERSIBLE,
            "requests that ran without a key stay done, and callers do not repeat a request that got 401"),
    /** The models among which gateways choose change. */
    ROUTE_MODELS(
            REQUESTS_IN_FLIGHT,
            "admitted requests choose among the old models, also for further attempts",
            SESSIONS,
            "the next request of a session may run on another model, which has to read its prompt again"),
    /** Something changes that appears in logs only. */
    LABEL(REQUESTS_IN_FLIGHT, "log lines of admitted requests have the old name"),
    /** A service is added. */
    SERVICE_ADDED(),
    /** A service is removed. */
    SERVICE_REMOVED(
            REQUESTS_IN_FLIGHT,
            "admitted requests keep the memory and models of a removed service; its limits for cold upstreams end at once"),
    /** The capacities that gateways plan with change. */
    CAPACITY(REQUESTS_IN_FLIGHT, "admitted requests are placed by the old capacities"),
    /** The connections that upstreams accept change. */
    CONNECTIONS(REQUESTS_IN_FLIGHT, "none: upstreams enforce their number of connections, gateways do not count them"),
    /** Models of a service or their prices change. */
    SERVICE_MODELS(REQUESTS_IN_FLIGHT, "the next attempt of any request is chosen by the new prices"),
    /** The limits of cold upstreams change. */
    COLD_LIMIT(REQUESTS_IN_FLIGHT, "the next attempt of any request keeps the new limit of cold upstreams"),
    /** An organisation is added. */
    ORGANISATION_ADDED(),
    /** An organisation is removed. */
    ORGANISATION_REMOVED(),
    /** A key is added. */
    KEY_ADDED(IRREVERSIBLE, "what runs with an added key stays done"),
    /** A key is taken away. */
    KEY_REMOVED(
            REQUESTS_IN_FLIGHT,
            "admitted requests with a removed key end as before; one whose body is still being read gets 401",
            SESSIONS,
            "the next request of a session with a removed key gets 401",
            IRREVERSIBLE,
            "callers do not repeat a request that got 401"),
    /** A key goes to another organisation. */
    KEY_MOVED(
            REQUESTS_IN_FLIGHT,
            "admitted requests count for the old organisation",
            IRREVERSIBLE,
            "what ran for the new organisation stays attributed to it"),
    /** A section or key of a routing document changes. */
    DOCUMENT(),
    /** The limits of all requests change. */
    SIZE_LIMITS(
            REQUESTS_IN_FLIGHT,
            "requests whose head was read keep the old limits",
            IRREVERSIBLE,
            "callers do not repeat a request that got 413 or 431");

    private final Map<Effect, String> effects = new EnumMap<>(Effect.class);

    Aspect() {}

    Aspect(Effect effect, String text) {
        effects.put(effect, text);
    }

    Aspect(Effect first, String firstText, Effect second, String secondText) {
        this(first, firstText);
        effects.put(second, secondText);
    }

    Aspect(Effect first, String firstText, Effect second, String secondText, Effect third, String thirdText) {
        this(first, firstText, second, secondText);
        effects.put(third, thirdText);
    }

    /**
     * Returns what a change of this aspect means.
     *
     * @return text for each effect that it has
     */
    public Map<Effect, String> effects() {
        return Map.copyOf(effects);
    }
}
