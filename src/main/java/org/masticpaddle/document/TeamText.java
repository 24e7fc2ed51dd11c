package org.masticpaddle.document;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** Splits a text with the sections of several teams into one text per team. Stateless and thread-safe. */
public final class TeamText {
    private TeamText() {}

    /**
     * Splits a text by team. Comments above the first header are dropped; other comments stay with the section before
     * them.
     *
     * @param text INI text with sections of any teams
     * @return text of each team, in order of first occurrence
     */
    public static Map<String, String> split(String text) {
        Objects.requireNonNull(text, "text is null");
        final Map<String, StringBuilder> parts = new LinkedHashMap<>();
        StringBuilder current = new StringBuilder();
        for (final String line : text.lines().toList()) {
            final String trimmed = line.trim();
            if (trimmed.startsWith("[") && trimmed.endsWith("]")) {
                final String[] words = LineScan.canonical(trimmed.substring(1, trimmed.length() - 1))
                        .split(" ");
                final String team = "team".equals(words[0]) && words.length > 1 ? words[1] : words[0];
                current = parts.computeIfAbsent(team, name -> new StringBuilder());
            }
            current.append(line).append('\n');
        }
        final Map<String, String> texts = new LinkedHashMap<>();
        parts.forEach((team, part) -> texts.put(team, part.toString()));
        return texts;
    }
}
