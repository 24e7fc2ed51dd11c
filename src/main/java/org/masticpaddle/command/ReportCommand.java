package org.masticpaddle.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.report.BurnReport;
import org.masticpaddle.report.BurnTotals;
import org.masticpaddle.report.BurnReportFormatter;
import org.masticpaddle.report.ServiceLevelReader;

/** Reports how fast organisations' error budgets burn. Used by one thread. */
final class ReportCommand implements Command {
    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(names = "--objective", description = "Share of requests that should meet their target")
    private double objective = 0.95;

    @Parameter(names = "--html", description = "File to write as an HTML page with a chart")
    private String htmlFile = "";

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "report";
    }

    @Override
    public String description() {
        return "Report service-level burn by organisation and rank; exit code 1 if there is an alert";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (!(objective > 0 && objective < 1)) {
            throw new CommandException(ExitCode.USAGE, "--objective: expected a number above 0 and below 1");
        }
        final BurnTotals totals = new BurnTotals(System.currentTimeMillis(), objective);
        final long skipped = logOptions.withLog(log -> {
            final ServiceLevelReader reader = new ServiceLevelReader(log);
            reader.read(totals);
            return reader.skipped();
        });
        if (skipped > 0) {
            err.println(skipped + " records are not understood and left out");
        }
        final BurnReport report = totals.report();
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, report);
        } else {
            out.print(BurnReportFormatter.formatText(report));
        }
        if (!htmlFile.isEmpty()) {
            writeHtml(report);
        }
        return report.hasAlerts() ? ExitCode.NEGATIVE : ExitCode.SUCCESS;
    }

    private void writeHtml(BurnReport report) {
        try {
            Files.writeString(Path.of(htmlFile), BurnReportFormatter.formatHtml(report), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot write " + htmlFile + ": " + e.getMessage());
        }
    }
}
