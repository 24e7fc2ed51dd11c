package org.masticpaddle.command;

import java.io.PrintStream;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.document.EditHistory;
import org.masticpaddle.document.EditOutcome;
import org.masticpaddle.document.Publisher;

/** Lists the latest edits. Used by one thread. */
final class HistoryCommand implements Command {
    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(names = "--edit", description = "Id of an edit; exit code 1 if it was rejected or is not on the log")
    private String editId = "";

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "history";
    }

    @Override
    public String description() {
        return "List the latest edits and what became of them, or tell it of one edit";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final EditHistory history = logOptions.withPublisher(Publisher::history);
        final List<EditHistory.Entry> entries = history.entries().stream()
                .filter(entry -> editId.isEmpty() || entry.editId().equals(editId))
                .toList();
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, entries.stream().map(HistoryCommand::toJson).toList());
        } else {
            entries.forEach(entry -> out.println(toText(entry)));
        }
        if (editId.isEmpty()) {
            return ExitCode.SUCCESS;
        }
        if (entries.isEmpty()) {
            err.println("edit " + editId + " is not among the latest edits on the log; it may still arrive if its"
                    + " publisher's call is under way");
            return ExitCode.NEGATIVE;
        }
        if (!entries.get(0).problems().isEmpty()) {
            ResultPrinter.printProblems(err, entries.get(0).problems());
        }
        return entries.get(0).verdict() == EditOutcome.Verdict.ACCEPTED ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }

    static String describe(EditOutcome.Verdict verdict) {
        return switch (verdict) {
            case ACCEPTED -> "accepted";
            case STALE_BASE -> "stale base, another edit of the part came first";
            case CHECK_FAILED -> "the document with the edit has mistakes";
            case UNKNOWN_RULES -> "unknown rule set";
        };
    }

    private static String toText(EditHistory.Entry entry) {
        final String when = entry.logged()
                .map(logged -> Instant.ofEpochMilli(logged.timeMillis()) + " by "
                        + logged.edit().author() + " from revision "
                        + logged.edit().baseRevision())
                .orElse("(record expired)");
        return entry.offset() + " " + entry.editId() + " " + entry.team() + " "
                + entry.verdict().name().toLowerCase(Locale.ROOT) + " " + when;
    }

    private static Map<String, Object> toJson(EditHistory.Entry entry) {
        final Map<String, Object> message = new LinkedHashMap<>();
        message.put("editId", entry.editId());
        message.put("offset", entry.offset());
        message.put("team", entry.team());
        message.put("verdict", entry.verdict());
        message.put("problems", entry.problems());
        entry.logged().ifPresent(logged -> {
            message.put("timeMillis", logged.timeMillis());
            message.put("author", logged.edit().author());
            message.put("baseRevision", logged.edit().baseRevision());
        });
        return message;
    }
}
