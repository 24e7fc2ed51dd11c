package org.masticpaddle.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Table at the end of the demonstration. Thread-safe, having no state. */
final class DemoTable {
    private DemoTable() {}

    static void print(List<LoadResult> results, PrintStream out) {
        final Map<String, List<LoadResult>> groups = results.stream()
                .collect(Collectors.groupingBy(result -> result.request().label(), TreeMap::new, Collectors.toList()));
        out.println();
        out.printf(
                "%-12s %8s %8s %8s %12s %12s %12s%n",
                "work", "sent", "answered", "refused", "cost micros", "p50 ms", "p99 ms");
        groups.forEach((label, group) -> printLine(label, group, out));
        printLine("all", results, out);
        out.println();
        out.println("answers by version:");
        results.stream()
                .filter(LoadResult::answered)
                .map(result -> result.headers().get("masticpaddle-version"))
                .collect(Collectors.groupingBy(String::valueOf, TreeMap::new, Collectors.counting()))
                .forEach((version, count) -> out.printf("  %-28s %6d%n", version, count));
        results.stream()
                .filter(result -> !result.answered())
                .collect(Collectors.groupingBy(LoadResult::status, TreeMap::new, Collectors.counting()))
                .forEach((status, count) -> out.printf("  refused with status %-8d %6d%n", status, count));
    }

    private static void printLine(String label, List<LoadResult> group, PrintStream out) {
        final List<LoadResult> answered =
                group.stream().filter(LoadResult::answered).toList();
        final List<Long> times =
                answered.stream().map(LoadResult::firstByteNanos).toList();
        out.printf(
                Locale.ROOT,
                "%-12s %8d %8d %8d %12d %12.1f %12.1f%n",
                label,
                group.size(),
                answered.size(),
                group.size() - answered.size(),
                answered.stream().mapToLong(ChatText::costMicros).sum(),
                Percentiles.millis(times, 50),
                Percentiles.millis(times, 99));
    }
}
