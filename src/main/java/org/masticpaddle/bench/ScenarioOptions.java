package org.masticpaddle.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.masticpaddle.document.IniReader;
import org.masticpaddle.document.NearestName;

/** Options of one bench scenario, read from section {@code [scenario]} of an INI file. Not thread-safe. */
public final class ScenarioOptions {
    private static final String SECTION = "scenario";

    private final String file;
    private final Map<String, String> values;
    private final Set<String> readKeys = new HashSet<>(List.of("kind", "description"));

    private ScenarioOptions(String file, Map<String, String> values) {
        this.file = file;
        this.values = Map.copyOf(values);
    }

    /**
     * Reads a scenario file.
     *
     * @param path INI file to read
     * @return options of the scenario, empty if the file has no such section
     * @throws IllegalArgumentException if the file cannot be read or is not a valid INI file
     */
    public static ScenarioOptions read(Path path) {
        try {
            final IniReader ini = IniReader.of(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
            if (!ini.problems().isEmpty()) {
                throw new IllegalArgumentException(String.join("\n", ini.problems()));
            }
            return new ScenarioOptions(path.toString(), ini.sections().getOrDefault(SECTION, Map.of()));
        } catch (IOException e) {
            throw new IllegalArgumentException(path + " cannot be read: " + e.getMessage(), e);
        }
    }

    String text(String key, String defaultValue) {
        readKeys.add(key);
        return values.getOrDefault(key, defaultValue);
    }

    int number(String key, int defaultValue) {
        final String value = text(key, Integer.toString(defaultValue));
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": expected a whole number, found " + value, e);
        }
    }

    double decimal(String key, double defaultValue) {
        final String value = text(key, Double.toString(defaultValue));
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": expected a number, found " + value, e);
        }
    }

    List<String> list(String key, String defaultValue) {
        return Arrays.stream(text(key, defaultValue).split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    /**
     * Returns the label of the scenario's kind.
     *
     * @return value of {@code kind}, empty if it is absent
     */
    public String kind() {
        return Objects.requireNonNullElse(values.get("kind"), "");
    }

    /**
     * Returns the description of the scenario.
     *
     * @return value of {@code description}, empty if it is absent
     */
    public String description() {
        return values.getOrDefault("description", "");
    }

    /**
     * Rejects keys that the scenario has not read. Must be called after all options have been read.
     *
     * @throws IllegalArgumentException if the file has a key that was not read
     */
    void rejectUnknownKeys() {
        final List<String> unknown = new ArrayList<>(values.keySet());
        unknown.removeAll(readKeys);
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException(file + ": unknown key " + unknown.get(0) + "; did you mean \""
                    + NearestName.of(unknown.get(0), readKeys) + "\"?");
        }
    }
}
