package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.document.ConfigurationState;
import org.masticpaddle.document.PartDifference;
import org.masticpaddle.document.PublishedPart;
import org.masticpaddle.document.Publisher;

/** Compares a file with the published part. Used by one thread. */
final class DiffCommand implements Command {
    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Parameter(names = "--team", description = "Team whose part is compared", required = true)
    private String team = "";

    @Parameter(names = "--select", description = "Take only the team's sections from a file with those of several")
    private boolean select;

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String description() {
        return "Compare a file with the team's published part; exit code 1 if they differ";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final PartFile partFile = PartFile.read(file, team, select);
        final ConfigurationState fold = logOptions.withPublisher(Publisher::read);
        final String published = fold.part(team).map(PublishedPart::text).orElse("");
        final List<PartDifference.Change> changes =
                PartDifference.between(published, partFile.part().text());
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, new Difference(team, fold.partRevision(team), changes));
        } else {
            ResultPrinter.printChanges(out, changes);
        }
        return changes.isEmpty() ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }

    private record Difference(String team, long revision, List<PartDifference.Change> changes) {}
}
