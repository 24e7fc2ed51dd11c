package org.masticpaddle.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.document.IniReader;
import org.masticpaddle.document.NearestName;

/** Checked settings of one process. Immutable and thread-safe. */
public final class ProcessSettings {
    private static final int MIN_SESSION_KEY = 16;

    private final Map<Setting, String> values;

    private ProcessSettings(Map<Setting, String> values) {
        this.values = values;
    }

    /**
     * Reads settings from a file.
     *
     * @param file INI file in UTF-8
     * @return the settings
     * @throws SettingsException with all mistakes if there are any
     */
    public static ProcessSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Reads settings from a text.
     *
     * @param file name for messages
     * @param text INI text
     * @return the settings
     * @throws SettingsException with all mistakes if there are any
     */
    public static ProcessSettings parse(String file, String text) {
        final IniReader ini = IniReader.of(file, text);
        final List<String> mistakes = new ArrayList<>(ini.problems());
        final Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (final Setting setting : Setting.values()) {
            value(ini, file, setting, mistakes).ifPresent(value -> values.put(setting, value));
        }
        mistakes.addAll(unknownNames(ini));
        if (mistakes.isEmpty()) {
            mistakes.addAll(roleMistakes(file, values));
        }
        if (!mistakes.isEmpty()) {
            throw new SettingsException(mistakes);
        }
        return new ProcessSettings(values);
    }

    private static Optional<String> value(IniReader ini, String file, Setting setting, List<String> mistakes) {
        final Map<String, String> section = ini.sections().getOrDefault(setting.section(), Map.of());
        final Optional<String> found = Optional.ofNullable(section.get(setting.key()));
        if (found.isPresent() && !setting.type().accepts(found.get())) {
            mistakes.add(ini.location(setting.section(), setting.key()) + ": expected "
                    + setting.type().expected() + ", found \"" + found.get() + "\"");
            return Optional.empty();
        }
        final Optional<String> value = found.or(setting::fallback);
        if (value.isEmpty()) {
            mistakes.add(file + ": [" + setting.section() + "] " + setting.key() + ": expected "
                    + setting.type().expected() + ", found no value");
        }
        return value;
    }

    private static List<String> unknownNames(IniReader ini) {
        final List<String> mistakes = new ArrayList<>();
        final List<String> sections =
                Arrays.stream(Setting.values()).map(Setting::section).distinct().toList();
        ini.sections().forEach((section, keys) -> {
            if (!sections.contains(section)) {
                mistakes.add(ini.location(section, "") + ": unknown section" + hint(section, sections));
                return;
            }
            final List<String> known = Arrays.stream(Setting.values())
                    .filter(setting -> setting.section().equals(section))
                    .map(Setting::key)
                    .toList();
            keys.keySet().stream()
                    .filter(key -> !known.contains(key))
                    .forEach(key -> mistakes.add(ini.location(section, key) + ": unknown key" + hint(key, known)));
        });
        return mistakes;
    }

    private static String hint(String found, List<String> known) {
        final String nearest = NearestName.of(found, known);
        return nearest.isEmpty() ? "" : "; did you mean \"" + nearest + "\"?";
    }

    private static List<String> roleMistakes(String file, Map<Setting, String> values) {
        final List<String> mistakes = new ArrayList<>();
        final String role = values.get(Setting.ROLE);
        if (!role.equals("gateway") && values.get(Setting.INSTANCES).isEmpty()) {
            mistakes.add(file + ": [platform] instances: role " + role + " needs a value, found none");
        }
        if (role.equals("sidecar")) {
            for (final Setting setting : List.of(Setting.SERVICE, Setting.UPSTREAM)) {
                if (values.get(setting).isEmpty()) {
                    mistakes.add(file + ": [sidecar] " + setting.key() + ": a sidecar needs a value, found none");
                }
            }
        } else if (role.equals("entry") && hasShortKey(values.get(Setting.SESSION_KEYS))) {
            mistakes.add(file + ": [entry] session_keys: expected keys of at least " + MIN_SESSION_KEY + " characters");
        }
        return mistakes;
    }

    private static boolean hasShortKey(String keys) {
        return Arrays.stream(keys.split(",")).anyMatch(key -> key.trim().length() < MIN_SESSION_KEY);
    }

    /**
     * Returns a value as text.
     *
     * @param setting the setting
     * @return the value or its default
     */
    public String text(Setting setting) {
        return Objects.requireNonNull(values.get(setting), "setting has no value");
    }

    /**
     * Returns a whole number.
     *
     * @param setting the setting
     * @return the value or its default
     */
    public int number(Setting setting) {
        return Integer.parseInt(text(setting));
    }

    /**
     * Returns a share.
     *
     * @param setting the setting
     * @return number between 0 and 1
     */
    public double share(Setting setting) {
        return Double.parseDouble(text(setting));
    }

    /**
     * Returns a number.
     *
     * @param setting the setting
     * @return number of at least 0
     */
    public double decimal(Setting setting) {
        return Double.parseDouble(text(setting));
    }

    /**
     * Returns a duration given in seconds with decimals.
     *
     * @param setting the setting
     * @return the duration
     */
    public Duration decimalSeconds(Setting setting) {
        return Duration.ofMillis(Math.round(decimal(setting) * 1000));
    }

    /**
     * Returns a duration given in seconds.
     *
     * @param setting the setting
     * @return the duration
     */
    public Duration seconds(Setting setting) {
        return Duration.ofSeconds(Long.parseLong(text(setting)));
    }

    /**
     * Returns a duration given in milliseconds.
     *
     * @param setting the setting
     * @return the duration
     */
    public Duration millis(Setting setting) {
        return Duration.ofMillis(Long.parseLong(text(setting)));
    }

    /**
     * Returns an origin.
     *
     * @param setting the setting
     * @return the origin, empty if none is set
     */
    public Optional<URI> origin(Setting setting) {
        return text(setting).isEmpty() ? Optional.empty() : Optional.of(URI.create(text(setting)));
    }

    /**
     * Returns a list.
     *
     * @param setting the setting
     * @return the items without blanks around them
     */
    public List<String> list(Setting setting) {
        return Arrays.stream(text(setting).split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }
}
