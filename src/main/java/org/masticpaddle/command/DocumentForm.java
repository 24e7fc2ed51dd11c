package org.masticpaddle.command;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.masticpaddle.document.CheckResult;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.document.PartDifference;
import org.masticpaddle.document.Problem;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.routes.check.Aspect;
import org.masticpaddle.routes.check.RoutingChange;

/**
 * The routing document of teams, in INI. The configuration in force consists of one file for each team, named after the team;
 * the parts of teams that the checked files do not contain stay as they are. Immutable and thread-safe.
 */
final class DocumentForm implements CheckedForm {
    private final String team;

    /**
     * Creates the form.
     *
     * @param team only team whose sections the files may contain, empty for any team
     */
    DocumentForm(String team) {
        this.team = Objects.requireNonNull(team, "team is null");
    }

    @Override
    public boolean recognises(SourceFile file) {
        return true;
    }

    @Override
    public List<SourceFile> inForce(URI origin, List<SourceFile> files) {
        final Set<String> teams = TeamText.split(text(parts(files))).keySet();
        return LogOptions.of(origin).withPublisher(Publisher::read).parts().stream()
                .filter(part -> teams.contains(part.team()))
                .map(part -> new SourceFile(part.team(), part.text().getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    @Override
    public CheckReport check(List<SourceFile> files, Optional<List<SourceFile>> base) {
        final List<Part> parts = parts(files);
        final CheckResult result = DocumentCheck.check(parts);
        return new CheckReport(
                result.problems(),
                result.document().organisations().size() + " organisations, "
                        + result.document().versions().size() + " versions, "
                        + result.document().services().size() + " services, "
                        + result.document().rollouts().size() + " roll-outs",
                base.filter(before -> result.problems().stream()
                                .noneMatch(problem -> problem.kind() == Problem.Kind.TOO_LARGE))
                        .map(before -> compare(before, parts)));
    }

    private List<Part> parts(List<SourceFile> files) {
        return files.stream().map(file -> PartFile.of(file, team, false).part()).toList();
    }

    private static CheckReport.Comparison compare(List<SourceFile> base, List<Part> parts) {
        final List<Part> before =
                base.stream().map(file -> PartFile.of(file, "", false).part()).toList();
        return new CheckReport.Comparison(
                before.isEmpty()
                        ? "an empty document"
                        : before.stream().map(Part::file).collect(Collectors.joining(", ")),
                PartDifference.between(text(before), text(parts)).stream()
                        .map(change -> new RoutingChange(Aspect.DOCUMENT, change))
                        .toList(),
                0);
    }

    private static String text(List<Part> parts) {
        return parts.stream().map(Part::text).collect(Collectors.joining("\n"));
    }
}
