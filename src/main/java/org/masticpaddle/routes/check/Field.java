package org.masticpaddle.routes.check;

/** Fields of a configuration that messages refer to. Each {@link ConfigurationFormat} has its own names for them. */
public enum Field {
    /** Version of the configuration. */
    VERSION,
    /** List of the routes. */
    ROUTES,
    /** Name of a route. */
    ROUTE_NAME,
    /** Host of a route. */
    HOST,
    /** Path prefix of a route. */
    PATH_PREFIX,
    /** Kind of a route's requests. */
    KIND,
    /** Whether a route's streams may resume at another upstream. */
    RESUMABLE,
    /** Longest time until the answer. */
    TIME_LIMIT,
    /** Latency objective of a route. */
    OBJECTIVE,
    /** Objective for the time between two events of a stream. */
    GAP_OBJECTIVE,
    /** Rank of a route's requests. */
    RANK,
    /** Whether a route needs no key. */
    PUBLIC_ACCESS,
    /** Largest number of upstreams to which a request is sent. */
    ATTEMPTS,
    /** Models of a route, smallest first. */
    ROUTE_MODELS,
    /** The only service of a route. */
    SERVICE,
    /** Services of a route with weights. */
    TARGETS,
    /** Service of a target. */
    TARGET_SERVICE,
    /** Weight of a target. */
    WEIGHT,
    /** List of the services. */
    SERVICES,
    /** Name of a service. */
    SERVICE_NAME,
    /** Connections that an upstream accepts. */
    CONNECTIONS,
    /** Tokens that an engine holds in memory. */
    TOKEN_CAPACITY,
    /** Tokens in one event of a stream. */
    TOKENS_PER_EVENT,
    /** Models of a service with prices. */
    SERVICE_MODELS,
    /** Time for which an upstream is cold. */
    COLD_TIME,
    /** Requests a second that a cold upstream accepts. */
    COLD_RATE,
    /** List of the organisations. */
    ORGANISATIONS,
    /** Name of an organisation. */
    ORGANISATION_NAME,
    /** Rank of an organisation's requests. */
    ORGANISATION_RANK,
    /** Keys of an organisation. */
    KEYS,
    /** Limits of all requests. */
    LIMITS,
    /** Largest total size of the request headers. */
    HEADER_LIMIT,
    /** Largest size of a request body. */
    BODY_LIMIT
}
