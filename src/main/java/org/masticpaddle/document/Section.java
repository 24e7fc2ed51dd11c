package org.masticpaddle.document;

import java.util.List;
import java.util.Map;

/**
 * Section of a parsed part. Immutable and thread-safe.
 *
 * @param file file or team name for problem messages
 * @param line line number of the header
 * @param header header without brackets, with single spaces
 * @param kind kind of the section
 * @param team team named in the header
 * @param names names that follow the kind in the header
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
