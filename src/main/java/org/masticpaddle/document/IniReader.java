package org.masticpaddle.document;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Sections and keys of an INI text, with their places and the mistakes of form. Immutable and thread-safe.
 *
 * <p>A byte-order mark and line ends of any kind are accepted; duplicate sections and keys are mistakes. Read without the
 * INI library, which takes ten times as long and would delay the start of every process.
 */
public final class IniReader {
    private final String file;
    private final LineScan scan;

    private IniReader(String file, LineScan scan) {
        this.file = file;
        this.scan = scan;
    }

    /**
     * Reads a text.
     *
     * @param file name for messages
     * @param text the text
     * @return its content and its mistakes
     */
    public static IniReader of(String file, String text) {
        Objects.requireNonNull(text, "text is null");
        final String clean = text.startsWith("\uFEFF") ? text.substring(1) : text;
        final LineScan scan = LineScan.of(file, clean);
        return new IniReader(file, scan);
    }

    /**
     * Returns the content.
     *
     * @return values by section and key
     */
    public Map<String, Map<String, String>> sections() {
        return scan.values();
    }

    /**
     * Returns the mistakes of form.
     *
     * @return one line each
     */
    public List<String> problems() {
        return scan.problems().stream().map(Problem::message).toList();
    }

    /**
     * Describes a place for a message.
     *
     * @param section section
     * @param key key, empty for the section itself
     * @return file, line, section and key
     */
    public String location(String section, String key) {
        final Integer line = key.isEmpty()
                ? scan.sections().get(section)
                : scan.keys().getOrDefault(section, Map.of()).get(key);
        return file + ":" + (line == null ? 0 : line) + ": [" + section + "]" + (key.isEmpty() ? "" : " " + key);
    }
}
