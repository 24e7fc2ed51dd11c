package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Sections and keys of an INI text, with their places and the mistakes of form. Immutable and thread-safe.
 *
 * <p>A byte-order mark and line ends of any kind are accepted; duplicate sections and keys are mistakes.
 */
public final class IniReader {
    private final String file;
    private final LineScan scan;
    private final Map<String, Map<String, String>> sections;
    private final List<Problem> problems;

    private IniReader(String file, LineScan scan, Map<String, Map<String, String>> sections, List<Problem> problems) {
        this.file = file;
        this.scan = scan;
        this.sections = sections;
        this.problems = problems;
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
        final List<Problem> problems = new ArrayList<>(scan.problems());
        final Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        for (final ImmutableNode node : PartParser.nodes(new Part("", file, clean), clean, problems)) {
            if (scan.sections().containsKey(node.getNodeName())) {
                sections.putIfAbsent(LineScan.canonical(node.getNodeName()), PartParser.values(node));
            }
        }
        return new IniReader(file, scan, sections, problems);
    }

    /**
     * Returns the content.
     *
     * @return values by section and key
     */
    public Map<String, Map<String, String>> sections() {
        return sections;
    }

    /**
     * Returns the mistakes of form.
     *
     * @return one line each
     */
    public List<String> mistakes() {
        return problems.stream().map(Problem::message).toList();
    }

    /**
     * Describes a place for a message.
     *
     * @param section section
     * @param key key, empty for the section itself
     * @return file, line, section and key
     */
    public String place(String section, String key) {
        final Integer line = key.isEmpty()
                ? scan.sections().get(section)
                : scan.keys().getOrDefault(section, Map.of()).get(key);
        return file + ":" + (line == null ? 0 : line) + ": [" + section + "]" + (key.isEmpty() ? "" : " " + key);
    }
}
