package org.masticpaddle.settings;

import java.util.Objects;
import java.util.Optional;

/** Settings of the daemon. Each constant gives section, key, type, default and meaning. */
public enum Setting {
    /** Role of the process. */
    ROLE("process", "role", SettingType.ROLE, null, "entry, sidecar or gateway"),
    /** Identifier of the instance. */
    INSTANCE("process", "instance", SettingType.NAME, null, "identifier of this instance in the instance list"),
    /** Region. */
    REGION("process", "region", SettingType.NAME, null, "region of this instance"),
    /** Failure domain. */
    FAILURE_DOMAIN("process", "failure_domain", SettingType.NAME, null, "failure domain of this instance"),
    /** Address to listen on. */
    HOST("process", "host", SettingType.NAME, "127.0.0.1", "IP number to listen on"),
    /** Port to listen on. */
    PORT("process", "port", SettingType.WHOLE, "0", "port to listen on, 0 to let the operating system choose"),
    /** Input/output threads. */
    IO_THREADS("process", "io_threads", SettingType.POSITIVE, "2", "threads of the server and of the client, each"),
    /** Largest request body. */
    MAX_BODY_BYTES("process", "max_body_bytes", SettingType.POSITIVE, "4194304", "largest request body in bytes"),
    /** Longest graceful shutdown. */
    DRAIN_SECONDS("process", "drain_seconds", SettingType.POSITIVE, "60", "longest time to finish work after SIGTERM"),
    /** Time for which a leaving process still answers. */
    SHUTDOWN_DELAY_MS(
            "process",
            "linger_ms",
            SettingType.WHOLE,
            "3000",
            "time for which a leaving process still refuses new work, so that others learn that it leaves"),
    /** Log of the platform. */
    LOG("platform", "log", SettingType.ORIGIN, null, "origin of the append-only log"),
    /** Retention of the log. */
    LOG_RETENTION_SECONDS(
            "platform",
            "log_retention_seconds",
            SettingType.POSITIVE,
            "86400",
            "time for which the log keeps a record"),
    /** Instance list of the platform. */
    INSTANCES("platform", "instances", SettingType.ORIGIN, "", "origin of the instance list; an entry needs one"),
    /** Rating service of the platform. */
    RATINGS("platform", "ratings", SettingType.ORIGIN, "", "origin of the rating service; empty for none"),
    /** Weight store of the platform. */
    WEIGHTS("platform", "weights", SettingType.ORIGIN, "", "origin of the weight store; empty for none"),
    /** Timeout of calls to the platform. */
    CALL_TIMEOUT_MS(
            "platform", "call_timeout_ms", SettingType.POSITIVE, "2000", "time without a byte that fails a call"),
    /** Keys that sign session tokens. */
    SESSION_KEYS("entry", "session_keys", SettingType.LIST, "", "keys of session tokens, 16 characters or more each"),
    /** Session lifetime. */
    SESSION_SECONDS("entry", "session_seconds", SettingType.POSITIVE, "86400", "lifetime of a session"),
    /** Queue bound. */
    QUEUE("entry", "queue", SettingType.POSITIVE, "4096", "requests that may wait for one service"),
    /** Sidecars that an entry uses for one service. */
    SUBSET("entry", "subset", SettingType.POSITIVE, "64", "sidecars that this entry uses for one service"),
    /** Other entries. */
    PEERS("entry", "peers", SettingType.LIST, "", "origins of other entries, asked for the document in a log outage"),
    /** Share of answers that are rated. */
    RATED_SHARE("entry", "rated_share", SettingType.SHARE, "0.05", "share of answers sent to the rating service"),
    /** Key lifetime. */
    KEY_LIFETIME_SECONDS(
            "entry",
            "key_lifetime_seconds",
            SettingType.POSITIVE,
            "3600",
            "time for which an idempotency key protects"),
    /** Partitions of the claims. */
    CLAIM_PARTITIONS("entry", "claim_partitions", SettingType.POSITIVE, "4", "claim streams, the same on all entries"),
    /** Batch interval of charges. */
    CHARGE_BATCH_MS("entry", "charge_batch_ms", SettingType.POSITIVE, "2000", "time between two appends of charges"),
    /** Service of the upstream. */
    SERVICE("sidecar", "service", SettingType.NAME, "", "service of the upstream in the instance list"),
    /** Upstream. */
    UPSTREAM("sidecar", "upstream", SettingType.ORIGIN, "", "origin of the upstream in this slot"),
    /** Kind of the upstream. */
    KIND("sidecar", "kind", SettingType.KIND, "engine", "engine or plain"),
    /** Slots of the upstream. */
    SLOTS("sidecar", "slots", SettingType.POSITIVE, "16", "attempts that run at the same time"),
    /** Queue of the sidecar. */
    MAX_QUEUED("sidecar", "max_queued", SettingType.WHOLE, "8", "attempts that may wait for a slot"),
    /** Entries to read the document from. */
    ENTRIES("sidecar", "entries", SettingType.LIST, "", "origins of entries that give the document, besides the list"),
    /** Attempts remembered. */
    MAX_ATTEMPTS("sidecar", "max_attempts", SettingType.POSITIVE, "16384", "non-idempotent attempts remembered"),
    /** Binding to the platform. */
    BINDING(
            "gateway",
            "binding",
            SettingType.NAME,
            "",
            "class of the binding to the platform; empty to look one up, which makes the start longer"),
    /** Address for callers of a gateway. */
    CALLER_ORIGIN("gateway", "front", SettingType.ORIGIN, "http://127.0.0.1:0", "address on which callers are served"),
    /** Address for the operations of a gateway. */
    OPERATIONS_ORIGIN("gateway", "operations", SettingType.ORIGIN, "http://127.0.0.1:0", "address of /readyz and /metrics"),
    /** Bound on revoked keys. */
    KEY_REVOCATION_MS(
            "gateway",
            "key_revocation_ms",
            SettingType.POSITIVE,
            "5000",
            "time after which a key that was taken away is used no longer, also without contact to the log"),
    /** Bound on leaving upstreams. */
    UPSTREAM_DRAIN_MS(
            "gateway",
            "upstream_drain_ms",
            SettingType.POSITIVE,
            "2000",
            "time after which a leaving upstream gets no work"),
    /** Time between SIGTERM and SIGKILL. */
    GRACE_SECONDS(
            "gateway",
            "grace_seconds",
            SettingType.DECIMAL,
            "8",
            "time between the request to stop and the forced end"),
    /** Retries of all gateways. */
    RETRY_SHARE("gateway", "retry_share", SettingType.DECIMAL, "0.9", "retries as part of all requests of a service"),
    /** Retries of all gateways beyond the share. */
    RETRY_SLACK("gateway", "retry_slack", SettingType.DECIMAL, "54", "retries in a window beyond the share"),
    /** Window of retries. */
    RETRY_WINDOW_SECONDS(
            "gateway", "retry_window_seconds", SettingType.DECIMAL, "10", "window in which retries are counted"),
    /** Exposure of a new version. */
    EXPOSURE_SHARE(
            "gateway", "exposure_share", SettingType.SHARE, "0.15", "part of the requests that a bad version may get"),
    /** Exposure beyond the share. */
    EXPOSURE_SLACK(
            "gateway",
            "exposure_slack",
            SettingType.DECIMAL,
            "30",
            "requests that a bad version may get beyond the share"),
    /** Sessions of gateways. */
    GATEWAY_SESSION_SECONDS(
            "gateway", "session_seconds", SettingType.DECIMAL, "5", "longest time between two requests of a session"),
    /** Doubt of drafts. */
    MIN_DRAFT_CONFIDENCE_PERCENT(
            "gateway", "doubt_below", SettingType.WHOLE, "60", "confidence in percent below which a draft is dropped"),
    /** Collector of metrics. */
    OTLP("metrics", "otlp", SettingType.ORIGIN, "", "origin of an OpenTelemetry collector; empty for none");

    private final String section;
    private final String key;
    private final SettingType type;
    private final String fallback;
    private final String meaning;

    Setting(String section, String key, SettingType type, String fallback, String meaning) {
        this.section = section;
        this.key = key;
        this.type = type;
        this.fallback = fallback;
        this.meaning = Objects.requireNonNull(meaning, "meaning is null");
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

    Optional<String> fallback() {
        return Optional.ofNullable(fallback);
    }

    /**
     * Describes the setting for the help text.
     *
     * @return one line
     */
    public String describe() {
        final String value =
                fallback().map(text -> text.isEmpty() ? "empty" : text).orElse("required");
        return "[" + section + "] " + key + " (" + value + "): " + meaning;
    }
}
