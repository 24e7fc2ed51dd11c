package org.masticpaddle.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.scale.ScaleBench;

/** Kinds of bench scenarios, each with its options and its bench. */
public enum ScenarioKind {
    /** Admission decisions in virtual time. */
    ADMISSION("admission") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final int seeds = options.number("seeds", 5);
            options.rejectUnknownKeys();
            return AdmissionBench.measure(seeds);
        }
    },
    /** Routing decisions in virtual time. */
    ROUTING("routing") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final List<String> names = options.list("measures", "");
            options.rejectUnknownKeys();
            final List<BenchRow> rows = new ArrayList<>();
            RoutingBench.run(names, rows::add);
            return rows;
        }
    },
    /** Rollouts of good and bad versions in virtual time. */
    ROLLOUT("rollout") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            options.rejectUnknownKeys();
            final List<BenchRow> rows = new ArrayList<>();
            RolloutBench.run(rows::add);
            return rows;
        }
    },
    /** Growth of the cost of each mechanism with its input, for docs/CAPACITY.md. */
    SCALE("scale") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final Path directory = Path.of(options.text("directory", "docs/capacity"));
            options.rejectUnknownKeys();
            return new ScaleBench(directory, progress)
                    .run().values().stream()
                            .map(result -> new BenchRow(
                                    "scale",
                                    result.benchmark().name() + " in "
                                            + result.benchmark().unit() + " for each of "
                                            + result.benchmark().input(),
                                    "none stated",
                                    result.fit().slope(),
                                    1 - result.fit().rSquared(),
                                    Map.of(),
                                    true))
                            .toList();
        }
    },
    /** Latency and CPU time that real entries and sidecars add. */
    OVERHEAD("overhead") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final int requests = options.number("requests", 3000);
            final int concurrency = options.number("concurrency", 8);
            final int repeats = options.number("repeats", 3);
            options.rejectUnknownKeys();
            return new OverheadBench(requests, concurrency, repeats, progress).run();
        }
    },
    /** Overload of a deployment of real entries and sidecars. */
    OVERLOAD("overload") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final OverloadBench bench = new OverloadBench(
                    options.text("deployment", "ar-cuyo"),
                    options.number("seconds", 8),
                    options.decimal("times", 20),
                    options.number("repeats", 3),
                    progress);
            options.rejectUnknownKeys();
            return bench.run();
        }
    };

    private final String label;

    ScenarioKind(String label) {
        this.label = label;
    }

    /**
     * Finds a kind by its label.
     *
     * @param label value of {@code kind} in a scenario file
     * @return the kind, empty if no kind has this label
     */
    public static Optional<ScenarioKind> of(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    /**
     * Runs a scenario of this kind.
     *
     * @param options options of the scenario; an unknown key is rejected with an {@link IllegalArgumentException}
     * @param progress receives lines that report progress
     * @return the measured rows
     */
    public List<BenchRow> measure(ScenarioOptions options, PrintStream progress) {
        return run(options, progress);
    }

    abstract List<BenchRow> run(ScenarioOptions options, PrintStream progress);
}
