package org.masticpaddle.scale;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.masticpaddle.admission.Demand;
import org.masticpaddle.admission.DemandRow;
import org.masticpaddle.admission.DemandSummary;
import org.masticpaddle.claim.AttemptTable;
import org.masticpaddle.claim.ClaimLedger;
import org.masticpaddle.claim.ClaimRecord;
import org.masticpaddle.claim.IdempotencyKey;
import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.membership.InstanceView;
import org.masticpaddle.membership.SubsetSelector;
import org.masticpaddle.platform.EngineControl.CacheEvent;
import org.masticpaddle.platform.HttpEngineControl.CacheEvents;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Frame;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.LoadReport;

/** The cost laws that the capacity page is worked out from, each measured on the real code with its real codec. */
public final class CostBenchmarks {
    private static final long NOW = 1_780_000_000_000L;
    private static final long LIFETIME_MILLIS = 3_600_000;
    private static final String ATTEMPT = "019e0b1c-7b00-7000-8000-%012d";

    private CostBenchmarks() {}

    /**
     * Lists all cost laws.
     *
     * @return the laws
     */
    public static List<CostBenchmark> all() {
        return List.of(
                new CostBenchmark("document-bytes", "organisations", "bytes", List.of(10, 100, 400, 1000), size ->
                        (double) documentText(size).length()),
                new CostBenchmark("document-check", "organisations", "us", List.of(10, 100, 400, 1000), CostBenchmarks::check),
                new CostBenchmark(
                        "document-memory",
                        "organisations",
                        "bytes",
                        List.of(100, 400, 1000),
                        CostBenchmarks::documentMemory),
                new CostBenchmark("instance-row-bytes", "instances", "bytes", List.of(100, 1000, 4000), size ->
                        (double) Json.encode(new InstanceChanges(1, true, instances(size))).length),
                new CostBenchmark(
                        "instance-view-memory",
                        "instances",
                        "bytes",
                        List.of(1000, 4000, 12000),
                        CostBenchmarks::viewMemory),
                new CostBenchmark("subset-choice", "instances", "us", List.of(1000, 4000, 10000), CostBenchmarks::subset),
                new CostBenchmark("status-bytes", "versions", "bytes", List.of(1, 6, 24), size ->
                        (double) Json.encode(load(size)).length),
                new CostBenchmark("claim-record-bytes", "claims", "bytes", List.of(10, 100, 1000), CostBenchmarks::claimBytes),
                new CostBenchmark("claim-fold", "claims", "us", List.of(1000, 4000, 8000), CostBenchmarks::claimFold),
                new CostBenchmark("claim-memory", "keys", "bytes", List.of(1000, 4000, 8000), CostBenchmarks::claimMemory),
                new CostBenchmark(
                        "attempt-memory", "attempts", "bytes", List.of(1000, 4000, 16000), CostBenchmarks::attemptMemory),
                new CostBenchmark(
                        "charge-bytes",
                        "charges",
                        "bytes",
                        List.of(10, 100, 1000),
                        size -> size * (double) Json.encode(charge(size)).length),
                new CostBenchmark(
                        "charge-encode",
                        "charges",
                        "us",
                        List.of(100, 1000, 10000),
                        size -> size * Timing.microsEach(size, index -> Json.encode(charge(index)))),
                new CostBenchmark("demand-bytes", "organisations", "bytes", List.of(1, 10, 40), size ->
                        (double) Json.encode(new DemandSummary(List.of(demand("entry-1", size)))).length),
                new CostBenchmark("demand-merge", "rows", "us", List.of(8, 32, 128), CostBenchmarks::demandMerge),
                new CostBenchmark("cache-event-bytes", "events", "bytes", List.of(1, 16, 64), size ->
                        (double) Json.encode(new CacheEvents(events(size))).length),
                new CostBenchmark("cache-event-fold", "events", "us", List.of(64, 640, 6400), CostBenchmarks::cacheFold),
                new CostBenchmark(
                        "frame-codec",
                        "tokens",
                        "us",
                        List.of(100, 1000, 10000),
                        size -> size * Timing.microsEach(size, CostBenchmarks::frame)));
    }

    static String documentText(int organisations) {
        final StringBuilder text = new StringBuilder("[team scale]\n\n[scale model model-a]\nservice = engines\n\n");
        for (int version = 1; version <= 6; version++) {
            text.append("[scale version model-a v")
                    .append(version)
                    .append("]\nprompt_price_micros = 40\noutput_price_micros = 120\nquality = 0.7\n\n");
        }
        for (int index = 0; index < organisations; index++) {
            text.append("[scale organisation organisation-")
                    .append(index)
                    .append("]\ncredential = sha256:")
                    .append(String.format("%064x", index + 1))
                    .append(
                            "\nweight = 1\nquality = 0.6\nallow = model-a/*\nexploration_share = 2%\n\n[scale limits organisation-")
                    .append(index)
                    .append("]\nrequests_per_second = 100\ntokens_per_second = 20000\n\n");
        }
        return text.toString();
    }

    private static double check(int organisations) {
        final List<Part> parts = List.of(Part.of("scale", documentText(organisations)));
        return Timing.microsEach(3, index -> DocumentCheck.check(parts));
    }

    private static double documentMemory(int organisations) {
        final List<Part> parts = List.of(Part.of("scale", documentText(organisations)));
        return Timing.retainedBytes(index -> DocumentCheck.check(parts).document());
    }

    private static List<Instance> instances(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Instance(
                        "worker-" + index,
                        "model-engines-" + index % 4,
                        "region-" + index % 7,
                        "domain-" + index % 23,
                        URI.create(
                                "http://10." + index / 65536 + "." + index / 256 % 256 + "." + index % 256 + ":8080"),
                        Instance.State.LIVE))
                .toList();
    }

    private static double viewMemory(int count) {
        return Timing.retainedBytes(index -> {
            final InstanceView view = new InstanceView(30_000);
            view.apply(
                    Json.decode(Json.encode(new InstanceChanges(1, true, instances(count))), InstanceChanges.class),
                    NOW);
            return view;
        });
    }

    private static double subset(int count) {
        final List<Instance> candidates = instances(count);
        return Timing.microsEach(5, index -> new SubsetSelector("entry-" + index, "region-1", 64).select(candidates));
    }

    private static LoadReport load(int versions) {
        return new LoadReport(
                NOW,
                false,
                true,
                12,
                3,
                16,
                IntStream.range(0, versions)
                        .mapToObj(index -> "model-a/v" + index)
                        .toList(),
                812.5);
    }

    private static ClaimRecord.Claim claim(int index) {
        final String id = String.format(ATTEMPT, index);
        return new ClaimRecord.Claim(
                new IdempotencyKey("organisation-" + index % 10, id, NOW),
                "88cf6ac6696b6e69892fc2174d894f44831251564176b17242f79c32e0692685",
                id,
                0,
                "worker-" + index % 100,
                NOW << 20);
    }

    private static double claimBytes(int count) {
        return IntStream.range(0, count)
                .mapToLong(index -> claim(index).encode().length)
                .sum();
    }

    private static List<LogRecord> claimLog(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new LogRecord(index, NOW, claim(index).encode()))
                .toList();
    }

    private static double claimFold(int count) {
        final List<LogRecord> records = claimLog(count);
        final ClaimLedger ledger = new ClaimLedger(LIFETIME_MILLIS, count, 2 << 20);
        return count * Timing.microsEach(count, index -> ledger.apply(records.get(index)));
    }

    private static double claimMemory(int count) {
        final List<LogRecord> records = claimLog(count);
        return Timing.retainedBytes(index -> {
            final ClaimLedger ledger = new ClaimLedger(LIFETIME_MILLIS, count, 2 << 20);
            records.forEach(ledger::apply);
            return ledger;
        });
    }

    private static double attemptMemory(int count) {
        return Timing.retainedBytes(ignored -> {
            final AttemptTable table = new AttemptTable(1, LIFETIME_MILLIS, count, 65_536, 64 << 20);
            for (int index = 0; index < count; index++) {
                final String id = String.format(ATTEMPT, index);
                table.accept(id, 1, NOW, NOW);
                table.recordAnswer(id, 200, new byte[256]);
            }
            return table;
        });
    }

    private static Charge charge(int index) {
        return new Charge(
                "organisation-3:" + String.format(ATTEMPT, index),
                "organisation-3",
                "model-a",
                "v3",
                412,
                296,
                51,
                0,
                String.format(ATTEMPT, index));
    }

    private static DemandRow demand(String origin, int organisations) {
        final Map<String, Demand> demands = new HashMap<>();
        for (int index = 0; index < organisations; index++) {
            demands.put("organisation-" + index, new Demand(12.5, 4300.25, 31.5, 88_000.5));
        }
        return new DemandRow(origin, "domain-1", false, NOW, 100, 1, demands);
    }

    private static double demandMerge(int rows) {
        final List<DemandRow> all = new ArrayList<>();
        for (int index = 0; index < rows; index++) {
            all.add(demand("entry-" + index, 10));
        }
        final DemandSummary summary = new DemandSummary(all);
        return Timing.microsEach(50, index -> summary.merge(new DemandSummary(all.subList(0, rows / 2))));
    }

    private static List<CacheEvent> events(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new CacheEvent(index + 1, "model-a/v3", index * 0x9E3779B97F4A7C15L, index % 8 != 0))
                .toList();
    }

    private static double cacheFold(int count) {
        final List<CacheEvent> events = events(count);
        return Timing.microsEach(5, index -> {
            final PrefixIndex prefixes = new PrefixIndex(PrefixIndex.DEFAULT_BLOCKS);
            prefixes.onEvents("worker-1", events, NOW);
            return prefixes;
        });
    }

    private static Object frame(int index) {
        final byte[] line = Json.encode(
                new Frame.Data(String.format(ATTEMPT, index), index * 5L, "token ".getBytes(StandardCharsets.UTF_8)));
        return Json.decode(line, Frame.class);
    }
}
