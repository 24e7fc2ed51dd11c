package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.masticpaddle.wire.Rank;

/** Scenarios of the admission bench; each figure needs one run, or two that are compared. */
enum AdmissionScenario {
    /** Urgent work at 0.3 of capacity beside background work at 20 times capacity, against alone. */
    URGENT_P99("background-overload", "urgent p99 against unloaded", 1.2, true) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return run.apply(List.of(urgent(0.3), background(20))).p99Nanos("urgent")
                    / run.apply(List.of(urgent(0.3))).p99Nanos("urgent");
        }
    },
    /** As above, by the part of urgent requests answered in time. */
    URGENT_ANSWERED("background-overload", "urgent answered share against unloaded", 0.99, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return run.apply(List.of(urgent(0.3), background(20))).answeredShare("urgent")
                    / run.apply(List.of(urgent(0.3))).answeredShare("urgent");
        }
    },
    /** All ranks together at twice the capacity. */
    GOODPUT_2("mixed-overload", "goodput at 2 times capacity against at capacity", 0.95, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return goodput(run, 2);
        }
    },
    /** All ranks together at 5 times the capacity. */
    GOODPUT_5("mixed-overload", "goodput at 5 times capacity against at capacity", 0.95, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return goodput(run, 5);
        }
    },
    /** All ranks together at 20 times the capacity. */
    GOODPUT_20("mixed-overload", "goodput at 20 times capacity against at capacity", 0.95, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return goodput(run, 20);
        }
    },
    /** Nine small organisations at 0.4 of capacity beside one at 20 times capacity, in the same rank. */
    SMALL_P99("large-organisation", "small organisations p99 against alone", 1.25, true) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return run.apply(List.of(small(), large())).p99Nanos("small")
                    / run.apply(List.of(small())).p99Nanos("small");
        }
    },
    /** As above, by the part of requests answered in time. */
    SMALL_ANSWERED("large-organisation", "small organisations answered share against alone", 0.99, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return run.apply(List.of(small(), large())).answeredShare("small")
                    / run.apply(List.of(small())).answeredShare("small");
        }
    },
    /** Urgent work at 0.3 of capacity beside background streams of ten times the size, at twice the capacity. */
    LONG_STREAMS("long-streams", "urgent p99 against unloaded", 1.2, true) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            final LoadSource streams = new LoadSource("background", Rank.BACKGROUND, organisations(10), 2, 10, 0, END_SECONDS);
            return run.apply(List.of(urgent(0.3), streams)).p99Nanos("urgent")
                    / run.apply(List.of(urgent(0.3))).p99Nanos("urgent");
        }
    },
    /** Urgent work at 20 times capacity beside background work at capacity. */
    FLOOR("urgent-overload", "background share of served tokens against its floor", 0.9, false) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            return run.apply(List.of(urgent(20), background(1))).servedTokenShare("background")
                    / MasticpaddlePolicy.BACKGROUND_FLOOR;
        }
    },
    /** Mixed work at 0.7 of capacity with 10 s at 20 times capacity. */
    RECOVERY("recovery", "seconds until the last failed arrival after an overload", 2, true) {
        @Override
        double measure(Function<List<LoadSource>, AdmissionOutcome> run) {
            final List<LoadSource> sources = new ArrayList<>(mixed("", 0.7, 0, END_SECONDS));
            sources.addAll(mixed("surge ", 20, SURGE_START_SECONDS, SURGE_END_SECONDS));
            final long end = (long) (SURGE_END_SECONDS * 1e9);
            return (run.apply(sources).lastUnansweredArrivalNanos(end) - end) / 1e9;
        }
    };

    private static final double END_SECONDS = 120;
    private static final double SURGE_START_SECONDS = 30;
    private static final double SURGE_END_SECONDS = 40;

    private final String scenario;
    private final String measureName;
    private final double target;
    private final boolean upperBound;

    AdmissionScenario(String scenario, String measureName, double target, boolean upperBound) {
        this.scenario = scenario;
        this.measureName = measureName;
        this.target = target;
        this.upperBound = upperBound;
    }

    abstract double measure(Function<List<LoadSource>, AdmissionOutcome> run);

    String scenario() {
        return scenario;
    }

    String measureName() {
        return measureName;
    }

    double target() {
        return target;
    }

    String targetText() {
        return (upperBound ? "at most " : "at least ") + target;
    }

    boolean met(double value) {
        return upperBound ? value <= target : value >= target;
    }

    private static double goodput(Function<List<LoadSource>, AdmissionOutcome> run, double load) {
        return run.apply(mixed("", load, 0, END_SECONDS)).goodputTokens()
                / run.apply(mixed("", 1, 0, END_SECONDS)).goodputTokens();
    }

    private static List<LoadSource> mixed(String prefix, double load, double from, double to) {
        return List.of(
                new LoadSource(prefix + "urgent", Rank.URGENT, organisations(10), 0.2 * load, 1, from, to),
                new LoadSource(prefix + "standard", Rank.STANDARD, organisations(10), 0.5 * load, 1, from, to),
                new LoadSource(prefix + "background", Rank.BACKGROUND, organisations(10), 0.3 * load, 1, from, to));
    }

    private static LoadSource urgent(double load) {
        return new LoadSource("urgent", Rank.URGENT, organisations(10), load, 1, 0, END_SECONDS);
    }

    private static LoadSource background(double load) {
        return new LoadSource("background", Rank.BACKGROUND, organisations(10), load, 1, 0, END_SECONDS);
    }

    private static LoadSource small() {
        return new LoadSource("small", Rank.STANDARD, organisations(9), 0.4, 1, 0, END_SECONDS);
    }

    private static LoadSource large() {
        return new LoadSource("large", Rank.STANDARD, List.of("large"), 20, 1, 0, END_SECONDS);
    }

    private static List<String> organisations(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> "organisation-" + index)
                .toList();
    }
}
