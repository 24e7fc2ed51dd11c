package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import org.masticpaddle.document.CheckResult;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;

/** Checks files as one routing document. Used by one thread. */
final class CheckCommand implements Command {
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--team", description = "Team that may own the sections of the files; default: any")
    private String team = "";

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String description() {
        return "Check files as one routing document and list all mistakes";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final List<Part> parts = files.stream()
                .map(file -> PartFile.read(file, team, false).part())
                .toList();
        final CheckResult result = DocumentCheck.check(parts);
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, Map.of("passed", result.passed(), "problems", result.problems()));
        } else if (result.passed()) {
            out.println("no mistakes: " + result.document().organisations().size() + " organisations, "
                    + result.document().versions().size() + " versions, "
                    + result.document().services().size() + " services, "
                    + result.document().rollouts().size() + " roll-outs");
        } else {
            ResultPrinter.printProblems(err, result.problems());
        }
        return result.passed() ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }
}
