package org.masticpaddle.document;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Checks the constraints between sections: references, credentials, rollouts and the sum of floors. Not thread-safe.
 */
final class ReferenceCheck {
    private final RoutingDocument document;
    private final Set<String> versions;
    private final List<Section> sections;
    private final List<Problem> problems;
    private final Set<String> checkedOrganisations = new HashSet<>();

    private ReferenceCheck(RoutingDocument document, List<Section> sections, List<Problem> problems) {
        this.document = document;
        this.versions = versions(document);
        this.sections = sections;
        this.problems = problems;
    }

    static void check(RoutingDocument document, List<Section> sections, List<Problem> problems) {
        new ReferenceCheck(document, sections, problems).checkAll();
    }

    private void checkAll() {
        final Set<String> teams = names(SectionKind.TEAM);
        final Set<String> models = names(SectionKind.MODEL);
        final Map<String, Section> credentials = new HashMap<>();
        for (final Section section : sections) {
            if (!teams.contains(section.team())) {
                reportUndeclared(section, "", "a declared [team NAME]", section.team(), teams);
            }
            switch (section.kind()) {
                case ORGANISATION -> checkOrganisation(section, models, credentials);
                case VERSION ->
                    checkDeclared(
                            section, "", "a declared model", section.names().get(0), models);
                case LIMITS ->
                    checkDeclared(
                            section,
                            "",
                            "a declared organisation",
                            section.name(),
                            document.organisations().keySet());
                case ROLLOUT -> checkRollout(section, models);
                default -> {}
            }
        }
        checkFloors();
    }

    private void checkOrganisation(Section section, Set<String> models, Map<String, Section> credentials) {
        final Organisation organisation = document.organisations().get(section.name());
        if (organisation == null || !checkedOrganisations.add(section.name())) {
            return;
        }
        final Section other = organisation.credential().isEmpty()
                ? null
                : credentials.putIfAbsent(organisation.credential(), section);
        if (other != null) {
            problems.add(section.problem(
                    Problem.Kind.DUPLICATE_CREDENTIAL,
                    "credential",
                    "a credential of its own",
                    "the one of organisation \"" + other.name() + "\"",
                    ""));
        }
        for (final String pattern : organisation.allowed()) {
            if (pattern.endsWith("/*")) {
                final String model = pattern.substring(0, pattern.length() - 2);
                checkDeclared(section, "allow", "a declared model", model, models);
            } else {
                checkDeclared(section, "allow", "a declared version", pattern, versions);
            }
        }
        organisation
                .services()
                .forEach(name -> checkDeclared(
                        section,
                        "services",
                        "a declared service",
                        name,
                        document.services().keySet()));
    }

    private void checkRollout(Section section, Set<String> models) {
        final Rollout rollout = document.rollouts().get(section.name());
        if (rollout == null) {
            return;
        }
        checkDeclared(section, "model", "a declared model", rollout.model(), models);
        checkRolloutVersion(section, "from", rollout.model(), rollout.from());
        checkRolloutVersion(section, "to", rollout.model(), rollout.to());
        if (!rollout.to().isEmpty() && rollout.to().equals(rollout.from())) {
            report(section, Problem.Kind.BAD_VALUE, "to", "another version than from", rollout.to());
        }
        final ModelVersion target = document.versions().get(new VersionName(rollout.model(), rollout.to()));
        if (target != null
                && target.state() == ModelVersion.State.WITHDRAWN
                && rollout.state() != Rollout.State.STOPPED) {
            report(
                    section,
                    Problem.Kind.WITHDRAWN_TARGET,
                    "to",
                    "an active version, or state = stopped",
                    "the withdrawn version " + target.name());
        }
    }

    private void checkRolloutVersion(Section section, String key, String model, String version) {
        checkDeclared(section, key, "a declared version", version.isEmpty() ? "" : model + "/" + version, versions);
        sections.stream()
                .filter(other -> other.kind() == SectionKind.VERSION)
                .filter(other -> other.names().equals(List.of(model, version)))
                .filter(Predicate.not(other -> other.team().equals(section.team())))
                .findFirst()
                // Without this rule a team could not withdraw its version while it is in another team's rollout.
                .ifPresent(other -> report(
                        section,
                        Problem.Kind.FOREIGN_SECTION,
                        key,
                        "a version of team \"" + section.team() + "\"",
                        "a version of team \"" + other.team() + "\""));
    }

    private void checkFloors() {
        final double floorSum = document.ranks().values().stream()
                .mapToDouble(RankPolicy::floor)
                .sum();
        if (floorSum > 1 + 1e-9) {
            sections.stream()
                    .filter(section -> section.kind() == SectionKind.RANK)
                    .filter(section -> section.values().containsKey("floor"))
                    .reduce((first, last) -> last)
                    .ifPresent(section -> report(
                            section,
                            Problem.Kind.FLOORS_ABOVE_ONE,
                            "floor",
                            "floors of all ranks that add up to at most 1",
                            "a sum of " + Math.round(floorSum * 1000) / 1000.0));
        }
    }

    private void checkDeclared(
            Section section, String key, String expected, String found, Collection<String> declaredNames) {
        if (!found.isEmpty() && !declaredNames.contains(found)) {
            reportUndeclared(section, key, expected, found, declaredNames);
        }
    }

    private void reportUndeclared(
            Section section, String key, String expected, String found, Collection<String> declaredNames) {
        problems.add(section.problem(
                Problem.Kind.UNKNOWN_REFERENCE,
                key,
                expected,
                LineScan.quote(found),
                NearestName.of(found, declaredNames)));
    }

    private void report(Section section, Problem.Kind kind, String key, String expected, String found) {
        problems.add(section.problem(kind, key, expected, found, ""));
    }

    private static Set<String> versions(RoutingDocument document) {
        return document.versions().keySet().stream()
                .map(VersionName::toString)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private Set<String> names(SectionKind kind) {
        return sections.stream()
                .filter(section -> section.kind() == kind)
                .map(Section::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
