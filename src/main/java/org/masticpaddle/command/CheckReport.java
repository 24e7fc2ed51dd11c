package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

import org.masticpaddle.document.Problem;
import org.masticpaddle.routes.check.Effect;
import org.masticpaddle.routes.check.RoutingChange;

/**
 * Result of the check of a configuration, in either form. Immutable and thread-safe.
 *
 * @param problems errors and warnings
 * @param summary what the configuration consists of; not shown beside errors
 * @param comparison difference to another configuration, empty if none was given or the files have mistakes
 */
record CheckReport(List<Problem> problems, String summary, Optional<Comparison> comparison) {
    CheckReport {
        problems = List.copyOf(problems);
        Objects.requireNonNull(summary, "summary is null");
        Objects.requireNonNull(comparison, "comparison is null");
    }

    boolean passed() {
        return problems.stream().noneMatch(problem -> problem.kind().severity().rejects());
    }

    private List<Problem> withSeverity(Problem.Severity severity) {
        return problems.stream()
                .filter(problem -> problem.kind().severity() == severity)
                .toList();
    }

    void printText(PrintStream out, PrintStream err) {
        final List<Problem> warnings = withSeverity(Problem.Severity.WARNING);
        warnings.forEach(warning -> out.println("warning: " + warning.message()));
        comparison.ifPresent(difference -> difference.printText(out));
        if (passed()) {
            out.println("no mistakes: " + summary + warningCount(warnings.size()));
        } else {
            ResultPrinter.printProblems(err, withSeverity(Problem.Severity.ERROR));
        }
    }

    private static String warningCount(int count) {
        return switch (count) {
            case 0 -> "";
            case 1 -> "; 1 warning";
            default -> "; " + count + " warnings";
        };
    }

    void printJson(PrintStream out) {
        final Map<String, Object> message = new LinkedHashMap<>();
        message.put("passed", passed());
        message.put("problems", withSeverity(Problem.Severity.ERROR));
        message.put("warnings", withSeverity(Problem.Severity.WARNING));
        comparison.ifPresent(difference -> message.put("difference", difference.toMessage()));
        ResultPrinter.printJson(out, message);
    }

    /**
     * Difference to another configuration. Immutable and thread-safe.
     *
     * @param base name of the other configuration
     * @param changes what has to change in the other configuration to get the checked one
     * @param unreadEntries mistakes in the other configuration, whose entries are not compared
     */
    record Comparison(String base, List<RoutingChange> changes, int unreadEntries) {
        Comparison {
            Objects.requireNonNull(base, "base is null");
            changes = List.copyOf(changes);
        }

        private void printText(PrintStream out) {
            out.println((changes.isEmpty() ? "no difference to " : "difference to ") + base);
            if (unreadEntries > 0) {
                out.println("entries with mistakes are not compared; mistakes in " + base + ": " + unreadEntries);
            }
            ResultPrinter.printChanges(
                    out, changes.stream().map(RoutingChange::change).toList());
            Effect.of(changes)
                    .forEach((effect, texts) -> texts.forEach(text -> out.println(effect.label() + ": " + text)));
        }

        private Map<String, Object> toMessage() {
            final Map<String, Object> message = new LinkedHashMap<>();
            message.put("base", base);
            message.put("unreadEntries", unreadEntries);
            message.put("changes", changes.stream().map(Comparison::toMessage).collect(Collectors.toList()));
            final List<Map<String, Object>> effects = new ArrayList<>();
            Effect.of(changes).forEach((effect, texts) -> effects.add(Map.of("effect", effect, "texts", texts)));
            message.put("effects", effects);
            return message;
        }

        private static Map<String, Object> toMessage(RoutingChange change) {
            final Map<String, Object> message = new LinkedHashMap<>();
            message.put("aspect", change.aspect());
            message.put("kind", change.change().kind());
            message.put("section", change.change().section());
            message.put("key", change.change().key());
            message.put("before", change.change().before());
            message.put("after", change.change().after());
            return message;
        }
    }
}
