package org.masticpaddle.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.masticpaddle.document.PartDifference;
import org.masticpaddle.document.Problem;
import org.masticpaddle.wire.Json;

/** Prints results. Thread-safe, having no state. */
final class ResultPrinter {
    private ResultPrinter() {}

    static void printJson(PrintStream out, Object message) {
        out.println(new String(Json.encode(message), StandardCharsets.UTF_8));
    }

    static void printProblems(PrintStream err, List<Problem> problems) {
        problems.forEach(problem -> err.println(problem.message()));
        err.println(problems.size() == 1 ? "1 mistake" : problems.size() + " mistakes");
    }

    static void printChanges(PrintStream out, List<PartDifference.Change> changes) {
        changes.forEach(change -> out.println(change.message()));
    }
}
