package org.masticpaddle.document;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Sections and keys of an INI text, with their locations and syntax problems. Immutable and thread-safe.
 *
 * <p>A byte-order mark and line ends of any kind are accepted; duplicate sections and keys are problems. Does not use
 * the INI library, which takes ten times as long and would delay the start of every process.
 */
public final class IniReader {
    private final String file;
    private final LineScan scan;

    private IniReader(String file, LineScan scan) {
        this.file = file;
        this.scan = scan;
    }

    /**
     * Parses an INI text.
     *
     * @param file file name for messages
     * @param text INI text
     * @return the sections and problems
     */
    public static IniReader of(String file, String text) {
        Objects.requireNonNull(text, "text is null");
        final String withoutByteOrderMark = text.startsWith("\uFEFF") ? text.substring(1) : text;
        final LineScan scan = LineScan.of(file, withoutByteOrderMark);
        return new IniReader(file, scan);
    }

    /**
     * Returns the values of the text.
     *
     * @return values by section and key
     */
    public Map<String, Map<String, String>> sections() {
        return scan.values();
    }

    /**
     * Returns the syntax problems.
     *
     * @return one message for each problem
     */
    public List<String> problems() {
        return scan.problems().stream().map(Problem::message).toList();
    }

    /**
     * Formats the location of a section or key for a message.
     *
     * @param section section header
     * @param key key, empty for the section itself
     * @return file, line, section and key; line 0 if the text does not contain them
     */
    public String location(String section, String key) {
        final Integer line = key.isEmpty()
                ? scan.sections().get(section)
                : scan.keys().getOrDefault(section, Map.of()).get(key);
        return file + ":" + (line == null ? 0 : line) + ": [" + section + "]" + (key.isEmpty() ? "" : " " + key);
    }
}
