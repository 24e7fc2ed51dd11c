package org.masticpaddle.document;

import java.util.List;
import java.util.Map;

/**
 * One section of a parsed part. Immutable and thread-safe.
 *
 * @param file name of the text in problems
 * @param line line of the header
 * @param header header with single spaces
 * @param kind kind of the section
 * @param team team in the header
 * @param names names in the header after the kind
 * @param values values by key
 * @param lines line numbers by key
 */
record Section(
        String file,
        int line,
        String header,
        SectionKind kind,
        String team,
        List<String> names,
        Map<String, String> values,
        Map<String, Integer> lines) {
    Section {
        names = List.copyOf(names);
        values = Map.copyOf(values);
        lines = Map.copyOf(lines);
    }

    String name() {
        return names.get(names.size() - 1);
    }

    Problem problem(Problem.Kind problemKind, String key, String expected, String found, String nearest) {
        return new Problem(problemKind, file, lines.getOrDefault(key, line), header, key, expected, found, nearest);
    }
}
