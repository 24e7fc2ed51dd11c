package org.masticpaddle.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.scale.ScaleBench;

/** Kinds of bench scenarios. */
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
    /** Roll-outs and bad versions in virtual time. */
    ROLLOUT("rollout") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            options.rejectUnknownKeys();
            final List<BenchRow> rows = new ArrayList<>();
            RolloutBench.run(rows::add);
            return rows;
        }
    },
    /** Cost laws of each mechanism, for the capacity page. */
    SCALE("scale") {
        @Override
        List<BenchRow> run(ScenarioOptions options, PrintStream progress) {
            final Path directory = Path.of(options.text("directory", "docs/capacity"));
            options.rejectUnknownKeys();
            return new ScaleBench(directory, progress)
                    .run().values().stream()
                            .map(one -> new BenchRow(
                                    "scale",
                                    one.benchmark().name() + " in "
                                            + one.benchmark().unit() + " for each of "
                                            + one.benchmark().input(),
                                    "none stated",
                                    one.fit().slope(),
                                    1 - one.fit().rSquared(),
                                    Map.of(),
                                    true))
                            .toList();
        }
    },
    /** Cost of entry and sidecar through real processes' code. */
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
    /** Overload through real processes' code. */
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
     * Finds a kind.
     *
     * @param label value of {@code kind} in a scenario file
     * @return the kind, if there is one of this name
     */
    public static Optional<ScenarioKind> of(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    /**
     * Runs a scenario.
     *
     * @param options its options
     * @param progress receives lines of progress
     * @return the measured rows
     */
    public List<BenchRow> measure(ScenarioOptions options, PrintStream progress) {
        return run(options, progress);
    }

    abstract List<BenchRow> run(ScenarioOptions options, PrintStream progress);
}
