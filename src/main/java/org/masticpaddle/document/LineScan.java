package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Line numbers of sections and keys, and the mistakes that the INI library does not report: it merges duplicate
 * sections, and takes a broken header or a line without a separator for a key. Immutable and thread-safe.
 *
 * @param sections line of each section by header as written
 * @param keys line of each key by header as written and key
 * @param values value of each key by canonical header, the first of duplicates
 * @param problems mistakes found
 */
record LineScan(
        Map<String, Integer> sections,
        Map<String, Map<String, Integer>> keys,
        Map<String, Map<String, String>> values,
        List<Problem> problems) {
    static String canonical(String header) {
        return header.trim().replaceAll("\\s+", " ");
    }

    static LineScan of(String file, String text) {
        final Scanner scanner = new Scanner(file);
        text.lines().forEach(scanner::line);
        return new LineScan(scanner.sections, scanner.keys, scanner.values, scanner.problems);
    }

    private static final class Scanner {
        private final String file;
        private final Map<String, Integer> sections = new HashMap<>();
        private final Map<String, Map<String, Integer>> keys = new HashMap<>();
        private final Map<String, Map<String, String>> values = new LinkedHashMap<>();
        private final List<Problem> problems = new ArrayList<>();
        private final Set<String> seen = new HashSet<>();
        private int number;
        private String header = "";

        Scanner(String file) {
            this.file = file;
        }

        void line(String raw) {
            number++;
            final String line = raw.trim();
            if (raw.chars().anyMatch(Scanner::notText)) {
                report(Problem.Kind.BAD_TEXT, "", "UTF-8 text", "bytes that are not text");
            }
            if (line.isEmpty() || line.charAt(0) == '#' || line.charAt(0) == ';') {
                return;
            }
            if (line.endsWith("\\")) {
                report(Problem.Kind.BAD_LINE, "", "a value on one line", "a backslash at the end of the line");
            } else if (line.charAt(0) == '[') {
                section(line);
            } else {
                key(line);
            }
        }

        /** Tells control characters, and the replacement character that stands for bytes that are not UTF-8. */
        private static boolean notText(int character) {
            return character == 0xFFFD || Character.isISOControl(character) && character != '\t';
        }

        private void section(String line) {
            if (!line.endsWith("]")) {
                report(Problem.Kind.BAD_LINE, "", "a header that ends with ]", quote(line));
                return;
            }
            header = line.substring(1, line.length() - 1);
            sections.putIfAbsent(header, number);
            values.putIfAbsent(canonical(header), new HashMap<>());
            if (!seen.add(canonical(header))) {
                report(Problem.Kind.DUPLICATE_SECTION, "", "one section of this name", "a second one");
            }
        }

        private void key(String line) {
            final int separator = line.indexOf('=');
            final String key = (separator < 0 ? line : line.substring(0, separator)).trim();
            if (separator < 0 || key.isEmpty()) {
                report(Problem.Kind.BAD_LINE, "", "key = value", quote(line));
            } else if (header.isEmpty()) {
                report(Problem.Kind.BAD_LINE, key, "a section header before the first key", quote(line));
            } else if (keys.computeIfAbsent(header, name -> new HashMap<>()).putIfAbsent(key, number) != null) {
                report(Problem.Kind.DUPLICATE_KEY, key, "one value", "a second one");
            } else {
                values.get(canonical(header)).putIfAbsent(key, value(line.substring(separator + 1)));
            }
        }

        /** Returns the text between double quotes, or the text before a comment, which follows a blank. */
        private static String value(String raw) {
            final String text = raw.trim();
            if (text.length() > 1 && text.charAt(0) == '"' && text.indexOf('"', 1) > 0) {
                return text.substring(1, text.indexOf('"', 1));
            }
            for (int index = 0; index < text.length(); index++) {
                final boolean comment = text.charAt(index) == '#' || text.charAt(index) == ';';
                if (comment && (index == 0 || Character.isWhitespace(text.charAt(index - 1)))) {
                    return text.substring(0, index).trim();
                }
            }
            return text;
        }

        private void report(Problem.Kind kind, String key, String expected, String found) {
            problems.add(new Problem(kind, file, number, canonical(header), key, expected, found, ""));
        }
    }

    static String quote(String text) {
        return "\"" + (text.length() > 80 ? text.substring(0, 80) + "..." : text) + "\"";
    }
}
