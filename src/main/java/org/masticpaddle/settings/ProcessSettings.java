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

/**
 * Validated settings of one process: every {@link Setting} has a value of its type. Immutable and thread-safe.
 */
public final class ProcessSettings {
    private static final int MIN_SESSION_KEY_CHARACTERS = 16;

    private final Map<Setting, String> values;

    private ProcessSettings(Map<Setting, String> values) {
        this.values = values;
    }

    /**
     * Reads settings from a file.
     *
     * @param file INI file in UTF-8
     * @return validated settings
     * @throws SettingsException if the file cannot be read or has errors; lists all of them
     */
    public static ProcessSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Parses settings from the text of an INI file.
     *
     * @param file file name for error messages
     * @param text INI text
     * @return validated settings
     * @throws SettingsException if the text has errors; lists all of them
     */
    public static ProcessSettings parse(String file, String text) {
        final IniReader ini = IniReader.of(file, text);
        final List<String> problems = new ArrayList<>(ini.problems());
        final Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (final Setting setting : Setting.values()) {
            resolve(ini, file, setting, problems).ifPresent(value -> values.put(setting, value));
        }
        problems.addAll(unknownNames(ini));
        if (problems.isEmpty()) {
            problems.addAll(roleProblems(file, values));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return new ProcessSettings(values);
    }

    private static Optional<String> resolve(IniReader ini, String file, Setting setting, List<String> problems) {
        final Map<String, String> section = ini.sections().getOrDefault(setting.section(), Map.of());
        final Optional<String> found = Optional.ofNullable(section.get(setting.key()));
        if (found.isPresent() && !setting.type().accepts(found.get())) {
            problems.add(ini.location(setting.section(), setting.key()) + ": expected "
                    + setting.type().expected() + ", found \"" + found.get() + "\"");
            return Optional.empty();
        }
        final Optional<String> value = found.or(setting::defaultValue);
        if (value.isEmpty()) {
            problems.add(file + ": [" + setting.section() + "] " + setting.key() + ": expected "
                    + setting.type().expected() + ", found no value");
        }
        return value;
    }

    private static List<String> unknownNames(IniReader ini) {
        final List<String> problems = new ArrayList<>();
        final List<String> sections =
                Arrays.stream(Setting.values()).map(Setting::section).distinct().toList();
        ini.sections().forEach((section, keys) -> {
            if (!sections.contains(section)) {
                problems.add(ini.location(section, "") + ": unknown section" + hint(section, sections));
                return;
            }
            final List<String> knownKeys = Arrays.stream(Setting.values())
                    .filter(setting -> setting.section().equals(section))
                    .map(Setting::key)
                    .toList();
            keys.keySet().stream()
                    .filter(key -> !knownKeys.contains(key))
                    .forEach(key -> problems.add(ini.location(section, key) + ": unknown key" + hint(key, knownKeys)));
        });
        return problems;
    }

    private static String hint(String unknownName, List<String> knownNames) {
        final String nearest = NearestName.of(unknownName, knownNames);
        return nearest.isEmpty() ? "" : "; did you mean \"" + nearest + "\"?";
    }

    private static List<String> roleProblems(String file, Map<Setting, String> values) {
        final List<String> problems = new ArrayList<>();
        final String role = values.get(Setting.ROLE);
        if (!role.equals("gateway") && values.get(Setting.INSTANCES).isEmpty()) {
            problems.add(file + ": [platform] instances: required for role " + role + ", found no value");
        }
        if (role.equals("sidecar")) {
            for (final Setting setting : List.of(Setting.SERVICE, Setting.UPSTREAM)) {
                if (values.get(setting).isEmpty()) {
                    problems.add(file + ": [sidecar] " + setting.key() + ": required for role sidecar, found no value");
                }
            }
        } else if (role.equals("entry") && hasShortKey(values.get(Setting.SESSION_KEYS))) {
            problems.add(file + ": [entry] session_keys: expected keys of at least " + MIN_SESSION_KEY_CHARACTERS
                    + " characters");
        }
        return problems;
    }

    private static boolean hasShortKey(String keys) {
        return Arrays.stream(keys.split(",")).anyMatch(key -> key.trim().length() < MIN_SESSION_KEY_CHARACTERS);
    }

    /**
     * Returns the value of a setting as text.
     *
     * @param setting setting of any type
     * @return configured value or the default, possibly empty
     */
    public String text(Setting setting) {
        return Objects.requireNonNull(values.get(setting), "setting has no value");
    }

    /**
     * Returns the value of a setting as an integer.
     *
     * @param setting setting whose type is a whole number
     * @return configured value or the default, at least 0
     */
    public int number(Setting setting) {
        return Integer.parseInt(text(setting));
    }

    /**
     * Returns the value of a setting as a fraction.
     *
     * @param setting setting whose type is a number from 0 to 1
     * @return configured value or the default, between 0 and 1
     */
    public double share(Setting setting) {
        return Double.parseDouble(text(setting));
    }

    /**
     * Returns the value of a setting as a decimal number.
     *
     * @param setting setting whose type is a number
     * @return configured value or the default, at least 0
     */
    public double decimal(Setting setting) {
        return Double.parseDouble(text(setting));
    }

    /**
     * Returns the value of a setting that is given in seconds, with decimals, as a duration.
     *
     * @param setting setting whose type is a number
     * @return configured value or the default, rounded to milliseconds
     */
    public Duration decimalSeconds(Setting setting) {
        return Duration.ofMillis(Math.round(decimal(setting) * 1000));
    }

    /**
     * Returns the value of a setting that is given in whole seconds as a duration.
     *
     * @param setting setting whose type is a whole number
     * @return configured value or the default
     */
    public Duration seconds(Setting setting) {
        return Duration.ofSeconds(Long.parseLong(text(setting)));
    }

    /**
     * Returns the value of a setting that is given in milliseconds as a duration.
     *
     * @param setting setting whose type is a number
     * @return configured value or the default, rounded to milliseconds
     */
    public Duration millis(Setting setting) {
        return Duration.ofMillis(Math.round(decimal(setting)));
    }

    /**
     * Returns the value of a setting as the origin of an HTTP server.
     *
     * @param setting setting whose type is an origin
     * @return scheme, host and port; absent if the value is empty
     */
    public Optional<URI> origin(Setting setting) {
        return text(setting).isEmpty() ? Optional.empty() : Optional.of(URI.create(text(setting)));
    }

    /**
     * Returns the value of a setting as a list.
     *
     * @param setting setting whose value is separated by commas
     * @return trimmed, non-empty items in order
     */
    public List<String> list(Setting setting) {
        return Arrays.stream(text(setting).split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }
}
