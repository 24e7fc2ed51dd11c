package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

import org.masticpaddle.wire.Rank;

/** Turns sections into the records of the document, without looking at other sections. Thread-safe, having no state. */
final class SectionReaders {
    private static final Pattern CREDENTIAL = Pattern.compile("sha256:[0-9a-f]{64}");
    private static final Pattern ALLOWED = Pattern.compile("[^/\\s*]+/([^/\\s*]+|\\*)");
    private static final Pattern CALL = Pattern.compile("[A-Z]+ /\\S*");
    private static final double PRIOR_WEIGHT = 20;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private SectionReaders() {}

    static Organisation organisation(Section section, SectionValues values, Limits limits) {
        final String credential = values.required("credential", "sha256: and 64 hexadecimal digits in lower case");
        if (!credential.isEmpty() && !CREDENTIAL.matcher(credential).matches()) {
            values.bad("credential", "sha256: and 64 hexadecimal digits in lower case");
        }
        return new Organisation(
                section.name(),
                section.team(),
                credential,
                values.number("weight", 1, 0.001, 1e6),
                values.share("quality", 0),
                matching(values, "allow", ALLOWED, "a list of MODEL/VERSION or MODEL/*"),
                values.list("services"),
                values.share("exploration_share", 0),
                limits);
    }

    static Limits limits(SectionValues values) {
        return new Limits(
                values.number("requests_per_second", UNLIMITED, 0, 1e12),
                values.number("tokens_per_second", UNLIMITED, 0, 1e12),
                values.number("concurrent", UNLIMITED, 0, 1e12),
                values.number("spend_micros_per_hour", UNLIMITED, 0, 1e15));
    }

    static ModelVersion version(Section section, SectionValues values, String modelService) {
        final String service = modelService.isEmpty()
                ? values.required("service", "a service here or in the section of the model")
                : values.text("service").orElse(modelService);
        values.required("quality", "a share from 0 to 1");
        final Map<String, Double> byKind = new HashMap<>();
        section.values().keySet().stream()
                .filter(key -> key.startsWith(SectionKind.QUALITY_PREFIX))
                .filter(SectionKind.VERSION::knows)
                .forEach(key -> byKind.put(key.substring(SectionKind.QUALITY_PREFIX.length()), values.share(key, 0)));
        return new ModelVersion(
                new VersionName(section.names().get(0), section.name()),
                service,
                values.choice("state", ModelVersion.State.ACTIVE),
                values.requiredWhole("prompt_price_micros", 0),
                values.requiredWhole("output_price_micros", 0),
                values.text("quality").isEmpty() ? 0 : values.share("quality", 0),
                byKind,
                values.number("prior_weight", PRIOR_WEIGHT, 1, 1e6),
                values.choice("session_end", ModelVersion.SessionEnd.MOVE));
    }

    static RankPolicy rank(Rank rank, SectionValues values) {
        final RankPolicy fallback = RoutingDocument.EMPTY.policy(rank);
        return new RankPolicy(
                rank,
                values.whole("first_token_ms", fallback.firstTokenMillis(), 1),
                values.whole("timeout_ms", fallback.timeoutMillis(), 1),
                values.share("floor", fallback.floor()));
    }

    static Rollout rollout(Section section, SectionValues values) {
        values.required("stages", "ascending shares such as 1%, 10%, 50%, 100%");
        return new Rollout(
                section.name(),
                values.required("model", "a model"),
                values.required("from", "a version of the model"),
                values.required("to", "a version of the model"),
                stages(values),
                values.requiredWhole("stage_ms", 1),
                values.choice("state", Rollout.State.RUNNING));
    }

    private static List<Double> stages(SectionValues values) {
        final List<Double> stages = new ArrayList<>();
        double last = 0;
        for (final String value : values.list("stages")) {
            final OptionalDouble share = SectionValues.share(value);
            if (share.isEmpty() || share.getAsDouble() <= last) {
                values.bad("stages", "ascending shares above 0% and up to 100%");
                return List.of();
            }
            last = share.getAsDouble();
            stages.add(last);
        }
        return stages;
    }

    static PlainService service(Section section, SectionValues values) {
        return new PlainService(
                section.name(),
                values.text("service").orElse(section.name()),
                matching(values, "non_idempotent", CALL, "a list of a method and a path each, such as POST /bookings"),
                values.flag("checks_idempotency_key"),
                values.whole("price_micros", 0, 0));
    }

    private static List<String> matching(SectionValues values, String key, Pattern pattern, String expected) {
        final List<String> list = values.list(key);
        if (!list.stream().allMatch(value -> pattern.matcher(value).matches())) {
            values.bad(key, expected);
        }
        return list;
    }
}
