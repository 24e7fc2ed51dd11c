package org.masticpaddle.standin;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.apache.commons.configuration2.Configuration;

/** Builds stand-ins from sections of an INI file. Thread-safe, having no state. */
final class StandInFactory {
    private StandInFactory() {}

    /**
     * Builds the stand-in of a section, which is named {@code KIND} or {@code KIND NAME}.
     *
     * @param section name of the section
     * @param settings keys of the section
     * @return the stand-in
     * @throws IllegalArgumentException if the kind is unknown or a value is wrong
     */
    static StandIn create(String section, Configuration settings) {
        final String kind = section.split(" ", 2)[0];
        return switch (kind) {
            case "log" ->
                new LogStandIn(
                        settings.getInt("appends_a_second", LogStandIn.DEFAULT_APPENDS_PER_SECOND),
                        settings.getInt("retained_records", 1_000_000),
                        Duration.ofMillis(settings.getLong("retention_ms", 86_400_000)));
            case "instances" -> new InstanceListStandIn(Duration.ofMillis(settings.getLong("lag_ms", 0)));
            case "rating" -> new RatingStandIn(settings.getDouble("noise", 0.2), offsets(settings));
            case "weights" -> new WeightStoreStandIn(Duration.ofMillis(settings.getLong("interval_ms", 1000)));
            case "plain" -> new PlainServiceStandIn(Duration.ofMillis(settings.getLong("service_ms", 5)));
            case "engine" -> new EngineStandIn(engine(section, settings));
            case "proxy" -> new ProxyStandIn(URI.create(required(section, settings, "target")));
            default -> throw new IllegalArgumentException("section [" + section + "]: unknown kind " + kind);
        };
    }

    private static EngineSettings engine(String section, Configuration settings) {
        final List<EngineSettings.Version> versions = words(required(section, settings, "versions"))
                .map(text -> version(section, text))
                .toList();
        final EngineSettings usual = EngineSettings.of(1, versions.toArray(new EngineSettings.Version[0]));
        return new EngineSettings(
                versions,
                settings.containsKey("loaded")
                        ? words(settings.getString("loaded")).toList()
                        : usual.loaded(),
                settings.getInt("slots", usual.slots()),
                settings.getDouble("token_ms", usual.tokenMillis()),
                settings.getDouble("token_ms_per_running", usual.tokenMillisPerRunning()),
                settings.getDouble("prefill_ms_per_token", usual.prefillMillisPerToken()),
                settings.getDouble("load_ms", usual.loadMillis()),
                settings.getInt("cache_blocks", usual.cacheBlocks()),
                settings.getInt("block_tokens", usual.blockTokens()),
                settings.getBoolean("fencing", usual.fencing()),
                settings.getLong("report_lag_ms", usual.reportLagMillis()),
                settings.getInt("event_gap_every", usual.eventGapEvery()),
                settings.getDouble("time_scale", 1));
    }

    /** Reads {@code model/version:quality} or {@code model/version:quality:slowness}. */
    private static EngineSettings.Version version(String section, String text) {
        final String[] parts = text.split(":");
        if (parts.length < 2 || parts.length > 3) {
            throw new IllegalArgumentException("section [" + section
                    + "]: expected model/version:quality or model/version:quality:slowness, found " + text);
        }
        return new EngineSettings.Version(
                parts[0], Double.parseDouble(parts[1]), parts.length == 3 ? Double.parseDouble(parts[2]) : 1);
    }

    private static Map<String, Double> offsets(Configuration settings) {
        final Map<String, Double> offsets = new HashMap<>();
        for (final Iterator<String> keys = settings.getKeys("offset"); keys.hasNext(); ) {
            final String key = keys.next();
            offsets.put(key.substring("offset.".length()), settings.getDouble(key));
        }
        return offsets;
    }

    private static Stream<String> words(String text) {
        return Stream.of(text.trim().split("\\s+")).filter(word -> !word.isEmpty());
    }

    private static String required(String section, Configuration settings, String key) {
        final String value = settings.getString(key);
        if (value == null) {
            throw new IllegalArgumentException("section [" + section + "]: key " + key + " is missing");
        }
        return value;
    }
}
