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

/** Tells what each process has in effect and since when. Used by one thread. */
final class StatusCommand implements Command {
    // A read of the log waits at most 5 s, so a later end of the log was read several times within this.
    private static final long MAX_LOG_READ_AGE_MILLIS = 30_000;

    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(
            names = "--instances",
            description =
                    "Origin of the instance list, for example http://10.0.0.1:8081; default: MASTICPADDLE_INSTANCES")
    private String instances = System.getenv().getOrDefault("MASTICPADDLE_INSTANCES", "");

    @Parameter(names = "--origin", description = "Origin of a process to ask in place of the list; may be repeated")
    private List<String> origins = new ArrayList<>();

    @Parameter(names = "--service", description = "Ask only the processes of this service in the instance list")
    private String service = "";

    @Parameter(names = "--parallel", description = "Processes asked at the same time, 1 to 256")
    private int parallel = 32;

    @Parameter(names = "--timeout-ms", description = "Longest time to wait for one process")
    private int timeoutMillis = 2_000;

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String description() {
        return "Tell what each process has in effect; exit code 1 if one lags, is not ready or does not answer";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (parallel < 1 || parallel > 256 || timeoutMillis < 1) {
            throw new CommandException(ExitCode.USAGE, "--parallel is 1 to 256, --timeout-ms at least 1");
        }
        final Duration timeout = Duration.ofMillis(timeoutMillis);
        final List<StatusPoller.Result> replies = LogOptions.withClient(
                client -> new StatusPoller(client, parallel, timeout).poll(resolveTargets(client, timeout)));
        final long newest = Math.max(
                readLogRevision(err),
                replies.stream()
                        .flatMap(reply -> reply.status().stream())
                        .mapToLong(ProcessStatus::revision)
                        .max()
                        .orElse(0));
        final List<Row> rows = replies.stream()
                .map(reply -> new Row(reply, mark(reply, newest)))
                .sorted(Comparator.comparing((Row row) -> row.result.target().service())
                        .thenComparing(row -> row.result.target().id()))
                .toList();
        final long marked = rows.stream().filter(row -> !row.mark.isEmpty()).count();
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(
                    out,
                    Map.of(
                            "newestRevision",
                            newest,
                            "marked",
                            marked,
                            "processes",
                            rows.stream().map(Row::toJson).toList()));
        } else {
            rows.forEach(row -> out.println(row.toText()));
            out.println(rows.size() + " processes, newest revision " + newest + ", " + marked + " marked");
        }
        if (rows.isEmpty()) {
            err.println("the instance list names no process");
        }
        return marked > 0 || rows.isEmpty() ? ExitCode.NEGATIVE : ExitCode.SUCCESS;
    }

    /** Revision on the log, so that processes which all lag are marked; 0 without a log. */
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
            err.println(e.getMessage() + "; processes are compared with each other only");
            return 0;
        }
    }

    private List<StatusPoller.Target> resolveTargets(HttpClient client, Duration timeout) {
        if (!origins.isEmpty()) {
            return origins.stream()
                    .map(origin -> new StatusPoller.Target(origin, "", LogOptions.parseOrigin("--origin", origin)))
                    .toList();
        }
        final URI list = LogOptions.parseOrigin("--instances", instances);
        try {
            return new HttpInstanceList(client, list, timeout)
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

    private static String mark(StatusPoller.Result reply, long newest) {
        if (reply.status().isEmpty()) {
            return "NO ANSWER";
        }
        final ProcessStatus status = reply.status().get();
        if (status.revision() < newest) {
            return "BEHIND";
        }
        if (!status.ready()) {
            return "NOT READY";
        }
        return status.tailAgeMillis() < 0 || status.tailAgeMillis() > MAX_LOG_READ_AGE_MILLIS ? "LOG NOT READ" : "";
    }

    private record Row(StatusPoller.Result result, String mark) {
        String toText() {
            final String effect = result.status()
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
                            effect)
                    .stripTrailing();
        }

        Map<String, Object> toJson() {
            final Map<String, Object> message = new LinkedHashMap<>();
            message.put("id", result.target().id());
            message.put("service", result.target().service());
            message.put("origin", result.target().origin());
            message.put("mark", mark);
            result.status()
                    .ifPresentOrElse(
                            status -> message.put("status", status), () -> message.put("problem", result.problem()));
            return message;
        }
    }
}
