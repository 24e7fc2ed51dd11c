package org.masticpaddle.document;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/** Parses the text of one part into sections. Stateless and thread-safe. */
final class PartParser {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String HEADER_SYNTAX =
            "[team NAME], [TEAM version MODEL NAME] or [TEAM KIND NAME] with KIND organisation, model, rank, rollout, "
                    + "service or limits";

    private PartParser() {}

    static ParsedPart parse(Part part) {
        final String text = part.text().startsWith("\uFEFF") ? part.text().substring(1) : part.text();
        final LineScan scan = LineScan.of(part.file(), text);
        final List<Problem> problems = new ArrayList<>(scan.problems());
        final List<Section> sections = new ArrayList<>();
        final Set<String> headers = new HashSet<>();
        for (final ImmutableNode node : readNodes(part, text, problems)) {
            if (scan.sections().containsKey(node.getNodeName())
                    && headers.add(LineScan.canonical(node.getNodeName()))) {
                parseSection(part, node, scan, problems).ifPresent(sections::add);
            }
        }
        return new ParsedPart(part, sections, problems);
    }

    static List<ImmutableNode> readNodes(Part part, String text, List<Problem> problems) {
        final INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        ini.setCommentLeadingCharsUsedInInput("#;");
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException | RuntimeException e) {
            problems.add(partProblem(
                    part, Problem.Kind.BAD_TEXT, "INI text", LineScan.quote(String.valueOf(e.getMessage()))));
            return List.of();
        }
        // Reads the nodes directly: look-ups by key would interpolate ${...} from the environment and split keys at
        // dots.
        return ini.getNodeModel().getNodeHandler().getRootNode().getChildren();
    }

    private static Optional<Section> parseSection(
            Part part, ImmutableNode node, LineScan scan, List<Problem> problems) {
        final String header = LineScan.canonical(node.getNodeName());
        final int line = scan.sections().get(node.getNodeName());
        final String[] words = header.split(" ");
        final boolean teamSection = words.length == 2 && "team".equals(words[0]);
        final Optional<SectionKind> kind = teamSection
                ? Optional.of(SectionKind.TEAM)
                : words.length < 3 ? Optional.empty() : SectionKind.of(words[1]);
        final int expectedWords =
                teamSection ? 2 : kind.filter(SectionKind.VERSION::equals).isPresent() ? 4 : 3;
        if (kind.isEmpty()
                || words.length != expectedWords
                || !teamSection && ("team".equals(words[0]) || "team".equals(words[1]))) {
            final String nearest = words.length < 2 ? "" : NearestName.of(words[1], SectionKind.labels());
            problems.add(new Problem(
                    Problem.Kind.UNKNOWN_SECTION,
                    part.file(),
                    line,
                    header,
                    "",
                    HEADER_SYNTAX,
                    LineScan.quote("[" + header + "]"),
                    kind.isPresent() ? "" : nearest));
            return Optional.empty();
        }
        final List<String> names = List.of(words).subList(teamSection ? 1 : 2, words.length);
        final Section section = new Section(
                part.file(),
                line,
                header,
                kind.get(),
                teamSection ? words[1] : words[0],
                names,
                values(node),
                scan.keys().getOrDefault(node.getNodeName(), Map.of()));
        checkHeader(part, section, problems);
        checkKeys(section, problems);
        return Optional.of(section);
    }

    static Map<String, String> values(ImmutableNode section) {
        final Map<String, String> values = new HashMap<>();
        for (final ImmutableNode child : section.getChildren()) {
            final Object value = child.getValue();
            values.putIfAbsent(
                    child.getNodeName(), value == null ? "" : value.toString().trim());
        }
        return values;
    }

    private static void checkHeader(Part part, Section section, List<Problem> problems) {
        final List<String> names = new ArrayList<>(section.names());
        names.add(section.team());
        names.stream()
                .filter(name -> !NAME.matcher(name).matches())
                .distinct()
                .forEach(name -> problems.add(section.problem(
                        Problem.Kind.BAD_VALUE,
                        "",
                        "a name of up to 64 letters, digits, dots, hyphens and underscores",
                        LineScan.quote(name),
                        "")));
        if (!part.owner().isEmpty() && !part.owner().equals(section.team())) {
            problems.add(section.problem(
                    Problem.Kind.FOREIGN_SECTION,
                    "",
                    "a section of team \"" + part.owner() + "\"",
                    "a section of team \"" + section.team() + "\"",
                    ""));
        }
    }

    private static void checkKeys(Section section, List<Problem> problems) {
        section.values().keySet().stream()
                .filter(key -> !section.kind().allowsKey(key))
                .filter(section.lines()::containsKey)
                .forEach(key -> problems.add(section.problem(
                        Problem.Kind.UNKNOWN_KEY,
                        key,
                        "one of " + String.join(", ", section.kind().keys()),
                        LineScan.quote(key),
                        NearestName.of(key, section.kind().keys()))));
    }

    private static Problem partProblem(Part part, Problem.Kind kind, String expected, String found) {
        return new Problem(kind, part.file(), 0, "", "", expected, found, "");
    }
}
