package org.masticpaddle.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import com.beust.jcommander.Parameter;
import org.masticpaddle.bench.BenchRow;
import org.masticpaddle.bench.ScenarioKind;
import org.masticpaddle.bench.ScenarioOptions;
import org.masticpaddle.wire.Json;

/** Command {@code bench}: runs a scenario file and compares the figures with their targets. */
final class BenchCommand implements Command {
    @Parameter(description = "SCENARIO (a name that --list shows, or a file)")
    private List<String> scenarios = new ArrayList<>();

    @Parameter(names = "--list", description = "List the scenarios")
    private boolean list;

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    private final Path directory = Path.of(System.getProperty("masticpaddle.home", "."), "samples", "scenarios");

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String description() {
        return "Run a bench scenario. Exit code 1 if a target is missed.";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (list) {
            listScenarioFiles().forEach(file -> out.printf(
                    "%-20s %s%n", scenarioName(file), ScenarioOptions.read(file).description()));
            return ExitCode.SUCCESS;
        }
        if (scenarios.size() != 1) {
            throw new CommandException(ExitCode.USAGE, "expected one scenario; --list names them");
        }
        final List<BenchRow> rows = measure(scenarios.get(0), err);
        if (output == OutputFormat.JSON) {
            out.println(new String(Json.encode(rows), StandardCharsets.UTF_8));
        } else {
            rows.forEach(row -> print(row, out));
        }
        return rows.stream().allMatch(BenchRow::met) ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }

    private List<BenchRow> measure(String scenario, PrintStream err) {
        try {
            final Path named = directory.resolve(scenario + ".ini");
            final ScenarioOptions options = ScenarioOptions.read(Files.exists(named) ? named : Path.of(scenario));
            final ScenarioKind kind = ScenarioKind.of(options.kind())
                    .orElseThrow(
                            () -> new CommandException(ExitCode.USAGE, "unknown kind of scenario: " + options.kind()));
            return kind.measure(options, err);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, e.getMessage());
        }
    }

    private List<Path> listScenarioFiles() {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.toString().endsWith(".ini"))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot list " + directory + ": " + e.getMessage());
        }
    }

    private static String scenarioName(Path file) {
        final String name = file.getFileName().toString();
        return name.substring(0, name.length() - ".ini".length());
    }

    private static void print(BenchRow row, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%-8s %-34s %-62s %10.3f (spread %.3f)  target %s%n",
                row.met() ? "met" : "MISSED",
                row.scenario(),
                row.measure(),
                row.value(),
                row.spread(),
                row.target());
        row.baselines().forEach((name, value) -> out.printf(Locale.ROOT, "         %42s %10.3f%n", name, value));
    }
}
