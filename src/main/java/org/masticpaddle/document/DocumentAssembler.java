package org.masticpaddle.document;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.masticpaddle.wire.Rank;

/** Assembles the sections of all parts into a document; reports invalid values and duplicate names. Not thread-safe. */
final class DocumentAssembler {
    private final List<Section> sections;
    private final List<Problem> problems;

    DocumentAssembler(List<Section> sections, List<Problem> problems) {
        this.sections = sections;
        this.problems = problems;
    }

    RoutingDocument assemble() {
        final Map<String, Limits> limits =
                collect(SectionKind.LIMITS, Section::name, section -> SectionReaders.limits(values(section)));
        final Map<String, String> models = collect(
                SectionKind.MODEL,
                Section::name,
                section -> values(section).text("service").orElse(""));
        collect(SectionKind.TEAM, Section::name, Section::name);
        return new RoutingDocument(
                collect(
                        SectionKind.ORGANISATION,
                        Section::name,
                        section -> SectionReaders.organisation(
                                section, values(section), limits.getOrDefault(section.name(), Limits.NONE))),
                collect(
                        SectionKind.VERSION,
                        section -> new VersionName(section.names().get(0), section.name()),
                        section -> SectionReaders.version(
                                section,
                                values(section),
                                models.getOrDefault(section.names().get(0), ""))),
                ranks(),
                collect(
                        SectionKind.ROLLOUT,
                        Section::name,
                        section -> SectionReaders.rollout(section, values(section))),
                collect(
                        SectionKind.SERVICE,
                        Section::name,
                        section -> SectionReaders.service(section, values(section))));
    }

    private Map<Rank, RankPolicy> ranks() {
        final Map<Rank, RankPolicy> policies = new HashMap<>();
        collect(SectionKind.RANK, Section::name, Function.identity()).forEach((name, section) -> {
            // Rank.of ignores case; only lower case is accepted here, so that a rank is declared at most once.
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

    private <K, V> Map<K, V> collect(SectionKind kind, Function<Section, K> nameOf, Function<Section, V> reader) {
        final Map<K, V> result = new LinkedHashMap<>();
        final Map<K, Section> firstByName = new HashMap<>();
        for (final Section section : sections) {
            if (section.kind() != kind) {
                continue;
            }
            final Section earlier = firstByName.putIfAbsent(nameOf.apply(section), section);
            if (earlier == null) {
                result.put(nameOf.apply(section), reader.apply(section));
            } else {
                problems.add(section.problem(
                        Problem.Kind.DUPLICATE_NAME,
                        "",
                        "one " + kind.label() + " of this name",
                        "another one in " + earlier.file() + ":" + earlier.line(),
                        ""));
            }
        }
        return result;
    }

    private SectionValues values(Section section) {
        return new SectionValues(section, problems::add);
    }
}
