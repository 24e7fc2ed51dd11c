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

/** Options of one bench scenario, from section {@code [scenario]} of an INI file. Used by one thread. */
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
     * @param path the file
     * @return its options
     * @throws IllegalArgumentException if the file cannot be read or has mistakes of form
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

    String text(String key, String fallback) {
        readKeys.add(key);
        return values.getOrDefault(key, fallback);
    }

    int number(String key, int fallback) {
        final String value = text(key, Integer.toString(fallback));
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": expected a whole number, found " + value, e);
        }
    }

    double decimal(String key, double fallback) {
        final String value = text(key, Double.toString(fallback));
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": expected a number, found " + value, e);
        }
    }

    List<String> list(String key, String fallback) {
        return Arrays.stream(text(key, fallback).split(","))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    /**
     * Returns the kind of scenario.
     *
     * @return value of {@code kind}
     */
    public String kind() {
        return Objects.requireNonNullElse(values.get("kind"), "");
    }

    /**
     * Returns the description.
     *
     * @return value of {@code description}
     */
    public String description() {
        return values.getOrDefault("description", "");
    }

    /**
     * Refuses keys that the scenario did not ask for.
     *
     * @throws IllegalArgumentException if there is such a key
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
