package org.masticpaddle.command;

import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.platform.HttpInstanceList;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.ProcessStatus;

/** Command {@code status}: shows the document revision that each process has in effect. Used by one thread. */
final class StatusCommand implements Command {
    // A long poll of the log returns within 5 s, so a healthy process reads to its end several times in this period.
    private static final long MAX_LOG_READ_AGE_MILLIS = 30_000;

    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(
            names = "--instances",
            description =
                    "Origin of the instance list, for example http://10.0.0.1:8081; default: MASTICPADDLE_INSTANCES")
    private String instances = System.getenv().getOrDefault("MASTICPADDLE_INSTANCES", "");

    @Parameter(
            names = "--origin",
            description = "Origin of a process to query instead of the instance list; may be repeated")
    private List<String> origins = new ArrayList<>();

    @Parameter(names = "--service", description = "Query only the processes of this service in the instance list")
    private String service = "";

    @Parameter(names = "--parallel", description = "Number of concurrent queries, 1 to 256")
    private int parallel = 32;

    @Parameter(names = "--timeout-ms", description = "Timeout of the query to one process, in milliseconds")
    private int timeoutMillis = 2_000;

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String description() {
        return "Show the document revision of each process; exit code 1 if one lags, is not ready or does not respond";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (parallel < 1 || parallel > 256 || timeoutMillis < 1) {
            throw new CommandException(ExitCode.USAGE, "--parallel must be 1 to 256, --timeout-ms at least 1");
        }
        final Duration timeout = Duration.ofMillis(timeoutMillis);
        final List<StatusPoller.Result> results = LogOptions.withClient(
                client -> new StatusPoller(client, parallel, timeout).poll(resolveTargets(client, timeout)));
        final long newestRevision = Math.max(
                readLogRevision(err),
                results.stream()
                        .flatMap(result -> result.status().stream())
                        .mapToLong(ProcessStatus::revision)
                        .max()
                        .orElse(0));
        final List<Row> rows = results.stream()
                .map(result -> new Row(result, mark(result, newestRevision)))
                .sorted(Comparator.comparing((Row row) -> row.result.target().service())
                        .thenComparing(row -> row.result.target().id()))
                .toList();
        final long markedCount =
                rows.stream().filter(row -> !row.mark.isEmpty()).count();
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(
                    out,
                    Map.of(
                            "newestRevision",
                            newestRevision,
                            "marked",
                            markedCount,
                            "processes",
                            rows.stream().map(Row::toJson).toList()));
        } else {
            rows.forEach(row -> out.println(row.toText()));
            out.println(rows.size() + " processes, newest revision " + newestRevision + ", " + markedCount + " marked");
        }
        if (rows.isEmpty()) {
            err.println("the instance list contains no matching process");
        }
        return markedCount > 0 || rows.isEmpty() ? ExitCode.NEGATIVE : ExitCode.SUCCESS;
    }

    /**
     * Returns the newest revision on the log, so that lagging processes are marked even if all lag; 0 if no log is
     * configured or the log is unavailable.
     */
    private long readLogRevision(PrintStream err) {
        if (!logOptions.hasOrigin()) {
            return 0;
        }
        try {
            return logOptions.withPublisher(Publisher::read).snapshot().revision();
        } catch (CommandException e) {
            if (e.exitCode() == ExitCode.USAGE) {
                throw e;
            }
            err.println(e.getMessage() + "; the processes are compared only with each other");
            return 0;
        }
    }

    private List<StatusPoller.Target> resolveTargets(HttpClient client, Duration timeout) {
        if (!origins.isEmpty()) {
            return origins.stream()
                    .map(origin -> new StatusPoller.Target(origin, "", LogOptions.parseOrigin("--origin", origin)))
                    .toList();
        }
        final URI instanceList = LogOptions.parseOrigin("--instances", instances);
        try {
            return new HttpInstanceList(client, instanceList, timeout)
                    .changes(0).join().instances().stream()
                            .filter(instance -> instance.state() != Instance.State.GONE)
                            .filter(instance -> service.isEmpty() || service.equals(instance.service()))
                            .map(instance ->
                                    new StatusPoller.Target(instance.id(), instance.service(), instance.address()))
                            .toList();
        } catch (CompletionException e) {
            throw new CommandException(
                    ExitCode.UNAVAILABLE,
                    "instance list unavailable: " + e.getCause().getMessage());
        }
    }

    /** Returns the problem to mark a process with, empty if it is up to date. */
    private static String mark(StatusPoller.Result result, long newestRevision) {
        if (result.status().isEmpty()) {
            return "NO ANSWER";
        }
        final ProcessStatus status = result.status().get();
        if (status.revision() < newestRevision) {
            return "BEHIND";
        }
        if (!status.ready()) {
            return "NOT READY";
        }
        return status.tailAgeMillis() < 0 || status.tailAgeMillis() > MAX_LOG_READ_AGE_MILLIS ? "LOG NOT READ" : "";
    }

    private record Row(StatusPoller.Result result, String mark) {
        String toText() {
            final String summary = result.status()
                    .map(status -> String.format(
                            Locale.ROOT,
                            "revision %d since %s, log read %s ago",
                            status.revision(),
                            status.sinceMillis() == 0 ? "-" : Instant.ofEpochMilli(status.sinceMillis()),
                            status.tailAgeMillis() < 0 ? "never" : status.tailAgeMillis() + " ms"))
                    .orElse(result.problem());
            return String.format(
                            Locale.ROOT,
                            "%-20s %-16s %-12s %s",
                            result.target().service(),
                            result.target().id(),
                            mark,
                            summary)
                    .stripTrailing();
        }

        Map<String, Object> toJson() {
            final Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("id", result.target().id());
            fields.put("service", result.target().service());
            fields.put("origin", result.target().origin());
            fields.put("mark", mark);
            result.status()
                    .ifPresentOrElse(
                            status -> fields.put("status", status), () -> fields.put("problem", result.problem()));
            return fields;
        }
    }
}
