package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Result of scanning an INI text line by line: line numbers and values, and the problems that the INI library does not
 * report. The library merges duplicate sections, and treats a malformed header or a line without a separator as a key.
 * Immutable and thread-safe.
 *
 * @param sections line number of each section, by header as written
 * @param keys line number of each key, by header as written and key
 * @param values value of each key, by header with single spaces and key; the first value of duplicate keys
 * @param problems problems found, in order of lines
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
        text.lines().forEach(scanner::scanLine);
        return new LineScan(scanner.sections, scanner.keys, scanner.values, scanner.problems);
    }

    private static final class Scanner {
        private final String file;
        private final Map<String, Integer> sections = new HashMap<>();
        private final Map<String, Map<String, Integer>> keys = new HashMap<>();
        private final Map<String, Map<String, String>> values = new LinkedHashMap<>();
        private final List<Problem> problems = new ArrayList<>();
        private final Set<String> seenHeaders = new HashSet<>();
        private int lineNumber;
        private String header = "";

        Scanner(String file) {
            this.file = file;
        }

        void scanLine(String raw) {
            lineNumber++;
            final String line = raw.trim();
            if (raw.chars().anyMatch(Scanner::nonTextCharacter)) {
                report(Problem.Kind.BAD_TEXT, "", "UTF-8 text", "bytes that are not text");
            }
            if (line.isEmpty() || line.charAt(0) == '#' || line.charAt(0) == ';') {
                return;
            }
            if (line.endsWith("\\")) {
                report(Problem.Kind.BAD_LINE, "", "a value on one line", "a backslash at the end of the line");
            } else if (line.charAt(0) == '[') {
                scanHeader(line);
            } else {
                scanKey(line);
            }
        }

        /**
         * Matches control characters, and the replacement character that decoding puts for bytes that are not UTF-8.
         */
        private static boolean nonTextCharacter(int character) {
            return character == 0xFFFD || Character.isISOControl(character) && character != '\t';
        }

        private void scanHeader(String line) {
            if (!line.endsWith("]")) {
                report(Problem.Kind.BAD_LINE, "", "a header that ends with ]", quote(line));
                return;
            }
            header = line.substring(1, line.length() - 1);
            sections.putIfAbsent(header, lineNumber);
            values.putIfAbsent(canonical(header), new HashMap<>());
            if (!seenHeaders.add(canonical(header))) {
                report(Problem.Kind.DUPLICATE_SECTION, "", "one section of this name", "a second one");
            }
        }

        private void scanKey(String line) {
            final int separator = line.indexOf('=');
            final String key = (separator < 0 ? line : line.substring(0, separator)).trim();
            if (separator < 0 || key.isEmpty()) {
                report(Problem.Kind.BAD_LINE, "", "key = value", quote(line));
            } else if (header.isEmpty()) {
                report(Problem.Kind.BAD_LINE, key, "a section header before the first key", quote(line));
            } else if (keys.computeIfAbsent(header, name -> new HashMap<>()).putIfAbsent(key, lineNumber) != null) {
                report(Problem.Kind.DUPLICATE_KEY, key, "one value", "a second one");
            } else {
                values.get(canonical(header)).putIfAbsent(key, parseValue(line.substring(separator + 1)));
            }
        }

        /** Returns the text between double quotes, or else the text before a comment, which must follow whitespace. */
        private static String parseValue(String raw) {
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
            problems.add(new Problem(kind, file, lineNumber, canonical(header), key, expected, found, ""));
        }
    }

    static String quote(String text) {
        return "\"" + (text.length() > 80 ? text.substring(0, 80) + "..." : text) + "\"";
    }
}
