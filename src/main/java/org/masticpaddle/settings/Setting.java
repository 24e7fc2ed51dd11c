package org.masticpaddle.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a process, each with its section and key in the INI file, its type, its default and a description for the
 * help text. A setting without a default is required.
 */
public enum Setting {
    /** Whether the process is an entry, a sidecar or a gateway. */
    ROLE("process", "role", SettingType.ROLE, null, "entry, sidecar or gateway"),
    /** Identifier of the instance in the platform's instance list. */
    INSTANCE("process", "instance", SettingType.NAME, null, "identifier of this instance in the instance list"),
    /** Region that the instance runs in. */
    REGION("process", "region", SettingType.NAME, null, "region of this instance"),
    /** Failure domain that the instance belongs to. */
    FAILURE_DOMAIN("process", "failure_domain", SettingType.NAME, null, "failure domain of this instance"),
    /** IP address that the server binds. */
    HOST("process", "host", SettingType.NAME, "127.0.0.1", "IP address to listen on"),
    /** Port that the server binds. */
    PORT(
            "process",
            "port",
            SettingType.NON_NEGATIVE_INTEGER,
            "0",
            "port to listen on, 0 for a free port chosen by the system"),
    /** Number of I/O threads. */
    IO_THREADS(
            "process",
            "io_threads",
            SettingType.POSITIVE_INTEGER,
            "2",
            "number of I/O threads, for the server and the client each"),
    /** Limit of the size of a request body. */
    MAX_BODY_BYTES(
            "process",
            "max_body_bytes",
            SettingType.POSITIVE_INTEGER,
            "4194304",
            "maximum size of a request body in bytes"),
    /** Timeout of a graceful shutdown. */
    DRAIN_SECONDS(
            "process",
            "drain_seconds",
            SettingType.POSITIVE_INTEGER,
            "60",
            "maximum time to finish in-flight requests after SIGTERM"),
    /** Time for which a draining process keeps its server open to reject requests. */
    SHUTDOWN_DELAY_MS(
            "process",
            "linger_ms",
            SettingType.NON_NEGATIVE_INTEGER,
            "3000",
            "minimum time for which a draining process keeps rejecting new work, so that other processes notice"),
    /** Address of the platform's log. */
    LOG("platform", "log", SettingType.ORIGIN, null, "origin of the append-only log"),
    /** Retention of the platform's log. */
    LOG_RETENTION_SECONDS(
            "platform",
            "log_retention_seconds",
            SettingType.POSITIVE_INTEGER,
            "86400",
            "time for which the log retains a record"),
    /** Address of the platform's instance list. */
    INSTANCES(
            "platform",
            "instances",
            SettingType.ORIGIN,
            "",
            "origin of the instance list; required except for gateways"),
    /** Address of the platform's rating service. */
    RATINGS("platform", "ratings", SettingType.ORIGIN, "", "origin of the rating service; empty for none"),
    /** Address of the platform's weight store. */
    WEIGHTS("platform", "weights", SettingType.ORIGIN, "", "origin of the weight store; empty for none"),
    /** Inactivity timeout of requests to the platform. */
    CALL_TIMEOUT_MS(
            "platform",
            "call_timeout_ms",
            SettingType.POSITIVE_INTEGER,
            "2000",
            "time without a received byte after which a request fails"),
    /** Signing keys of session tokens. */
    SESSION_KEYS(
            "entry",
            "session_keys",
            SettingType.LIST,
            "",
            "keys that sign session tokens, at least 16 characters each"),
    /** Lifetime of a session. */
    SESSION_SECONDS("entry", "session_seconds", SettingType.POSITIVE_INTEGER, "86400", "lifetime of a session"),
    /** Limit of the admission queue. */
    QUEUE("entry", "queue", SettingType.POSITIVE_INTEGER, "4096", "maximum number of queued requests per service"),
    /** Size of the subset of sidecars that an entry uses. */
    SUBSET(
            "entry",
            "subset",
            SettingType.POSITIVE_INTEGER,
            "64",
            "number of sidecars that this entry uses per service"),
    /** Other entries, from which the routing document is read during an outage of the log. */
    PEERS(
            "entry",
            "peers",
            SettingType.LIST,
            "",
            "origins of other entries, queried for the routing document during an outage of the log"),
    /** Sampling rate of ratings. */
    RATED_SHARE(
            "entry",
            "rated_share",
            SettingType.FRACTION,
            "0.05",
            "fraction of the answers that are sent to the rating service"),
    /** Lifetime of an idempotency key. */
    KEY_LIFETIME_SECONDS(
            "entry",
            "key_lifetime_seconds",
            SettingType.POSITIVE_INTEGER,
            "3600",
            "time for which an idempotency key prevents a second execution"),
    /** Number of partitions of the claims. */
    CLAIM_PARTITIONS(
            "entry",
            "claim_partitions",
            SettingType.POSITIVE_INTEGER,
            "4",
            "number of claim streams, the same on all entries"),
    /** Interval at which batches of charges are appended. */
    CHARGE_BATCH_MS(
            "entry",
            "charge_batch_ms",
            SettingType.POSITIVE_INTEGER,
            "2000",
            "interval between two appends of charges"),
    /** Service that the upstream belongs to. */
    SERVICE("sidecar", "service", SettingType.NAME, "", "service of the upstream in the instance list"),
    /** Address of the upstream. */
    UPSTREAM("sidecar", "upstream", SettingType.ORIGIN, "", "origin of the upstream behind this sidecar"),
    /** Whether the upstream is a model engine or a plain service. */
    KIND("sidecar", "kind", SettingType.UPSTREAM_KIND, "engine", "kind of the upstream: engine or plain"),
    /** Concurrency limit of the upstream. */
    SLOTS("sidecar", "slots", SettingType.POSITIVE_INTEGER, "16", "maximum number of attempts that run concurrently"),
    /** Limit of the sidecar's queue. */
    MAX_QUEUED(
            "sidecar",
            "max_queued",
            SettingType.NON_NEGATIVE_INTEGER,
            "8",
            "maximum number of attempts that wait for a slot"),
    /** Entries from which the routing document is read. */
    ENTRIES(
            "sidecar",
            "entries",
            SettingType.LIST,
            "",
            "origins of entries that provide the routing document, in addition to the instance list"),
    /** Maximum size of the attempt table. */
    MAX_ATTEMPTS(
            "sidecar",
            "max_attempts",
            SettingType.POSITIVE_INTEGER,
            "16384",
            "maximum number of non-idempotent attempts that are remembered"),
    /** Class that binds a gateway to the platform. */
    BINDING(
            "gateway",
            "binding",
            SettingType.NAME,
            "",
            "class of the binding to the platform; empty to find one by the service loader, which slows down startup"),
    /** Address on which a gateway serves callers. */
    CALLER_ORIGIN("gateway", "front", SettingType.ORIGIN, "http://127.0.0.1:0", "origin on which callers are served"),
    /** Address on which a gateway serves health checks and metrics. */
    OPERATIONS_ORIGIN(
            "gateway",
            "operations",
            SettingType.ORIGIN,
            "http://127.0.0.1:0",
            "origin on which /readyz and /metrics are served"),
    /** Time after which a revoked key is no longer accepted. */
    KEY_REVOCATION_MS(
            "gateway",
            "key_revocation_ms",
            SettingType.POSITIVE_DECIMAL,
            "5000",
            "time after which a revoked key is no longer accepted, also while the log is unavailable"),
    /** Time after which a draining upstream receives no more requests. */
    UPSTREAM_DRAIN_MS(
            "gateway",
            "upstream_drain_ms",
            SettingType.POSITIVE_DECIMAL,
            "2000",
            "time after which a draining upstream receives no more requests"),
    /** Time within which a gateway knows all changes again after a disturbance. */
    SETTLING_MS(
            "gateway",
            "settling_ms",
            SettingType.POSITIVE_DECIMAL,
            "3000",
            "time after a disturbance within which a gateway must know all changes again"),
    /** Grace period of a gateway's shutdown. */
    GRACE_SECONDS(
            "gateway", "grace_seconds", SettingType.NON_NEGATIVE_DECIMAL, "8", "time between SIGTERM and SIGKILL"),
    /** Maximum ratio of retries to requests, over all gateways together. */
    RETRY_SHARE(
            "gateway",
            "retry_share",
            SettingType.NON_NEGATIVE_DECIMAL,
            "0.9",
            "maximum ratio of retries to requests of a service"),
    /** Number of retries per window beyond {@link #RETRY_SHARE}, over all gateways together. */
    RETRY_SLACK(
            "gateway", "retry_slack", SettingType.NON_NEGATIVE_DECIMAL, "54", "retries per window beyond that ratio"),
    /** Window of the retry budget. */
    RETRY_WINDOW_SECONDS(
            "gateway",
            "retry_window_seconds",
            SettingType.NON_NEGATIVE_DECIMAL,
            "10",
            "time window in which retries are counted"),
    /** Share of the requests that a faulty new version may receive. */
    EXPOSURE_SHARE(
            "gateway",
            "exposure_share",
            SettingType.FRACTION,
            "0.15",
            "fraction of the requests that a faulty version may receive"),
    /** Number of requests that a faulty new version may receive beyond {@link #EXPOSURE_SHARE}. */
    EXPOSURE_SLACK(
            "gateway",
            "exposure_slack",
            SettingType.NON_NEGATIVE_DECIMAL,
            "30",
            "requests that a faulty version may receive beyond that fraction"),
    /** Idle timeout of a gateway's sessions. */
    GATEWAY_SESSION_SECONDS(
            "gateway",
            "session_seconds",
            SettingType.NON_NEGATIVE_DECIMAL,
            "5",
            "maximum time between two requests of a session"),
    /** Time within which an evacuated failure domain gets no more requests. */
    EVACUATION_MS(
            "gateway",
            "evacuation_ms",
            SettingType.NON_NEGATIVE_DECIMAL,
            "0",
            "time after which an evacuated failure domain receives no more requests; 0 for no bound"),
    /** Factor of the requests that cold upstreams receive, over all gateways together. */
    COLD_OVERAGE(
            "gateway",
            "cold_overage",
            SettingType.NON_NEGATIVE_DECIMAL,
            "0",
            "factor of the stated rate at which a cold upstream receives requests, 0 for no limit"),
    /** Number of requests per second beyond {@link #COLD_OVERAGE}, over all gateways together. */
    COLD_SLACK(
            "gateway",
            "cold_slack",
            SettingType.NON_NEGATIVE_DECIMAL,
            "0",
            "requests that a cold upstream receives in a second beyond that rate"),
    /** Whether requests are placed by the speeds that upstreams have shown. */
    UPSTREAM_SPEEDS(
            "gateway",
            "upstream_speeds",
            SettingType.UPSTREAM_SPEEDS,
            "ignored",
            "whether upstreams of a service are expected to be as fast as their answers were (learned) or equally fast"
                    + " (ignored, unless they report work factors); takes effect at the start"),
    /** Order of the requests of one service. */
    URGENCY(
            "gateway",
            "urgency",
            SettingType.URGENCY,
            "rank",
            "order of requests: by the rank of their organisation, or of their route if it has none (rank), and among"
                    + " organisations of equal rank by the rank of the route (route_within_rank); takes effect at the start"),
    /** How upstreams that have just started or recovered get their requests. */
    PACE(
            "gateway",
            "pace",
            SettingType.PACE,
            "none",
            "adaptive to limit the concurrent requests of an upstream that has started or recovered by its answers"),
    /** Minimum confidence of a draft that is delivered, in percent. */
    MIN_DRAFT_CONFIDENCE_PERCENT(
            "gateway",
            "doubt_below",
            SettingType.NON_NEGATIVE_INTEGER,
            "50",
            "confidence in percent below which a draft is discarded"),
    /** How doubtful drafts are weighed against answers of the largest model. */
    ESCALATION(
            "gateway",
            "escalation",
            SettingType.ESCALATION,
            "in_time",
            "when the largest model answers in place of a doubtful draft: whenever it is in time and not reserved (in_time), or by"
                    + " the confidence of the draft, the expected time of the answer and the load (by_value); takes effect at the"
                    + " start"),
    /** Address of the OpenTelemetry collector that metrics are pushed to. */
    OTLP("metrics", "otlp", SettingType.ORIGIN, "", "origin of an OpenTelemetry collector; empty for none");

    private final String section;
    private final String key;
    private final SettingType type;
    private final String defaultValue;
    private final String description;

    Setting(String section, String key, SettingType type, String defaultValue, String description) {
        this.section = section;
        this.key = key;
        this.type = type;
        this.defaultValue = defaultValue;
        this.description = Objects.requireNonNull(description, "description is null");
    }

    String section() {
        return section;
    }

    String key() {
        return key;
    }

    SettingType type() {
        return type;
    }

    Optional<String> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /**
     * Describes the setting for the help text.
     *
     * @return line with section, key, default and description
     */
    public String describe() {
        final String value =
                defaultValue().map(text -> text.isEmpty() ? "empty" : text).orElse("required");
        return "[" + section + "] " + key + " (" + value + "): " + description;
    }
}
