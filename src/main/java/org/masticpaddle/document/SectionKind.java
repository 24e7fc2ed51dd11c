package org.masticpaddle.document;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Kinds of sections and the keys that each of them allows. */
enum SectionKind {
    TEAM("contact", "description"),
    ORGANISATION("credential", "weight", "quality", "allow", "services", "exploration_share", "description"),
    MODEL("service", "description"),
    VERSION(
            "service",
            "state",
            "prompt_price_micros",
            "output_price_micros",
            "quality",
            "prior_weight",
            "session_end",
            "description"),
    RANK("first_token_ms", "timeout_ms", "floor", "description"),
    ROLLOUT("model", "from", "to", "stages", "stage_ms", "state", "description"),
    SERVICE("service", "non_idempotent", "checks_idempotency_key", "price_micros", "description"),
    LIMITS("requests_per_second", "tokens_per_second", "concurrent", "spend_micros_per_hour", "description");

    static final String QUALITY_PREFIX = "quality.";

    private final List<String> keys;

    SectionKind(String... keys) {
        this.keys = List.of(keys);
    }

    static Optional<SectionKind> of(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label().equals(label))
                .findFirst();
    }

    static List<String> labels() {
        return Arrays.stream(values()).map(SectionKind::label).toList();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    List<String> keys() {
        return keys;
    }

    boolean allowsKey(String key) {
        return keys.contains(key)
                || this == VERSION && key.startsWith(QUALITY_PREFIX) && key.length() > QUALITY_PREFIX.length();
    }
}
