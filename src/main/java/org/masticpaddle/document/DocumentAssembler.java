package org.masticpaddle.document;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.masticpaddle.wire.Rank;

/** Assembles the sections of all parts into a document and reports bad values and names declared twice. */
final class DocumentAssembler {
    private final List<Section> sections;
    private final List<Problem> problems;

    DocumentAssembler(List<Section> sections, List<Problem> problems) {
        this.sections = sections;
        this.problems = problems;
    }

    RoutingDocument assemble() {
        final Map<String, Limits> limits =
                declare(SectionKind.LIMITS, Section::name, section -> SectionReaders.limits(values(section)));
        final Map<String, String> models = declare(
                SectionKind.MODEL,
                Section::name,
                section -> values(section).text("service").orElse(""));
        declare(SectionKind.TEAM, Section::name, Section::name);
        return new RoutingDocument(
                declare(
                        SectionKind.ORGANISATION,
                        Section::name,
                        section -> SectionReaders.organisation(
                                section, values(section), limits.getOrDefault(section.name(), Limits.NONE))),
                declare(
                        SectionKind.VERSION,
                        section -> new VersionName(section.names().get(0), section.name()),
                        section -> SectionReaders.version(
                                section,
                                values(section),
                                models.getOrDefault(section.names().get(0), ""))),
                ranks(),
                declare(
                        SectionKind.ROLLOUT,
                        Section::name,
                        section -> SectionReaders.rollout(section, values(section))),
                declare(
                        SectionKind.SERVICE,
                        Section::name,
                        section -> SectionReaders.service(section, values(section))));
    }

    private Map<Rank, RankPolicy> ranks() {
        final Map<Rank, RankPolicy> policies = new HashMap<>();
        declare(SectionKind.RANK, Section::name, Function.identity()).forEach((name, section) -> {
            // Rank.of takes any case; the document has one spelling, so that a name is declared at most once.
            Rank.of(name)
                    .filter(rank -> rank.label().equals(name))
                    .ifPresentOrElse(
                            rank -> policies.put(rank, SectionReaders.rank(rank, values(section))),
                            () -> problems.add(section.problem(
                                    Problem.Kind.UNKNOWN_SECTION,
                                    "",
                                    "a rank of urgent, standard or background",
                                    LineScan.quote(name),
                                    NearestName.of(name, List.of("urgent", "standard", "background")))));
        });
        return policies;
    }

    private <K, V> Map<K, V> declare(SectionKind kind, Function<Section, K> name, Function<Section, V> reader) {
        final Map<K, V> declared = new LinkedHashMap<>();
        final Map<K, Section> first = new HashMap<>();
        for (final Section section : sections) {
            if (section.kind() != kind) {
                continue;
            }
            final Section earlier = first.putIfAbsent(name.apply(section), section);
            if (earlier == null) {
                declared.put(name.apply(section), reader.apply(section));
            } else {
                problems.add(section.problem(
                        Problem.Kind.DUPLICATE_NAME,
                        "",
                        "one " + kind.label() + " of this name",
                        "another one in " + earlier.file() + ":" + earlier.line(),
                        ""));
            }
        }
        return declared;
    }

    private SectionValues values(Section section) {
        return new SectionValues(section, problems::add);
    }
}
