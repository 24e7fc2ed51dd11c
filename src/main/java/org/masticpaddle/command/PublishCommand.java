package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.document.CheckResult;
import org.masticpaddle.document.ConfigurationState;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.document.PartDifference;
import org.masticpaddle.document.PublishResult;
import org.masticpaddle.document.PublishedPart;
import org.masticpaddle.document.Publisher;

/** Publishes a team's part. Used by one thread. */
final class PublishCommand implements Command {
    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Parameter(names = "--team", description = "Team whose part is published", required = true)
    private String team = "";

    @Parameter(
            names = "--base",
            description = "Revision that the file was edited from; default: the first line that show writes, else 0")
    private long base = -1;

    @Parameter(names = "--select", description = "Take only the team's sections from a file with those of several")
    private boolean select;

    @Parameter(names = "--author", description = "Who publishes")
    private String author = System.getProperty("user.name", "");

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String description() {
        return "Publish a team's part and wait for the result";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final PartFile partFile = PartFile.read(file, team, select);
        final long baseRevision = base >= 0 ? base : partFile.baseRevision().orElse(0);
        return logOptions.withPublisher(publisher -> publish(publisher, partFile, baseRevision, out, err));
    }

    private int publish(Publisher publisher, PartFile partFile, long baseRevision, PrintStream out, PrintStream err) {
        final ConfigurationState fold = publisher.read();
        final long current = fold.partRevision(team);
        if (baseRevision != current) {
            if (output == OutputFormat.JSON) {
                ResultPrinter.printJson(out, Map.of("result", "refused", "reason", "STALE_BASE", "revision", current));
            }
            throw new CommandException(
                    ExitCode.NEGATIVE,
                    "stale base: the file was edited from revision " + baseRevision + ", the part of team " + team
                            + " is at revision " + current + "; see masticpaddle diff --team " + team + " " + file);
        }
        final List<Part> parts = new ArrayList<>(List.of(partFile.part()));
        fold.parts().stream()
                .filter(part -> !part.team().equals(team))
                .forEach(part -> parts.add(Part.of(part.team(), part.text())));
        final CheckResult check = DocumentCheck.check(parts);
        if (!check.passed()) {
            if (output == OutputFormat.JSON) {
                ResultPrinter.printJson(out, Map.of("result", "refused", "reason", "CHECK_FAILED", "problems", check.problems()));
            }
            ResultPrinter.printProblems(err, check.problems());
            return ExitCode.NEGATIVE;
        }
        final String before = fold.part(team).map(PublishedPart::text).orElse("");
        final List<PartDifference.Change> changes =
                PartDifference.between(before, partFile.part().text());
        if (output == OutputFormat.TEXT) {
            ResultPrinter.printChanges(out, changes);
        }
        final PublishResult result =
                publisher.publish(team, baseRevision, partFile.part().text(), author);
        return printResult(result, changes, partFile, out, err);
    }

    private int printResult(
            PublishResult result,
            List<PartDifference.Change> changes,
            PartFile partFile,
            PrintStream out,
            PrintStream err) {
        final Map<String, Object> message = new LinkedHashMap<>();
        message.put("editId", result.editId());
        message.put("changes", changes);
        final String text;
        final int exitCode;
        if (result instanceof PublishResult.Accepted accepted) {
            partFile.updateHeader(accepted.revision());
            message.put("result", "accepted");
            message.put("revision", accepted.revision());
            message.put("offset", accepted.offset());
            text = "accepted: the part of team " + team + " is at revision " + accepted.revision() + " (edit "
                    + result.editId() + ", offset " + accepted.offset() + ")";
            exitCode = ExitCode.SUCCESS;
        } else if (result instanceof PublishResult.Rejected rejected) {
            message.put("result", "rejected");
            message.put("reason", rejected.verdict());
            message.put("problems", rejected.problems());
            text = "rejected: " + HistoryCommand.describe(rejected.verdict()) + " (edit " + result.editId() + ")";
            exitCode = ExitCode.NEGATIVE;
        } else if (result instanceof PublishResult.Unknown unknown) {
            message.put("result", "unknown");
            message.put("reason", unknown.reason());
            message.put("command", unknown.command());
            text = "unknown: " + unknown.reason() + "\nFind out with: " + unknown.command();
            exitCode = ExitCode.UNKNOWN;
        } else {
            message.put("result", "not_sent");
            text = "not sent: " + ((PublishResult.NotSent) result).reason();
            message.put("reason", ((PublishResult.NotSent) result).reason());
            exitCode = ExitCode.UNAVAILABLE;
        }
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, message);
        } else {
            (exitCode == ExitCode.SUCCESS ? out : err).println(text);
        }
        return exitCode;
    }
}
