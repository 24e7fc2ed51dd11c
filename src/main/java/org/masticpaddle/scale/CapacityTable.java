package org.masticpaddle.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Renders the table of the capacity page: the cost of each mechanism at a target size, extrapolated from the benchmark
 * results, and its share of the budget of a process or of the log. Not thread-safe.
 */
final class CapacityTable {
    private static final double BANDWIDTH_BUDGET_BYTES_PER_SECOND = 17_000;
    private static final double CPU_BUDGET_CORES = 0.038;
    private static final double MEMORY_BUDGET_BYTES = 256e6;
    private static final double LOG_BUDGET_APPENDS_PER_SECOND = 400;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SUBSET_SIZE = 64;
    private static final double KEY_LIFETIME_SECONDS = 3_600;
    private static final int CLAIM_PARTITIONS = 256;
    private static final double CHARGE_BATCH_SECONDS = 10;
    private static final double CLAIM_BATCH_SECONDS = 2;
    private static final double EDIT_BYTES = 2_000;
    private static final double SUMMARY_APPENDS_PER_SECOND = 10;
    private static final int HTTP_HEADER_BYTES = 320;

    private final Map<String, CostBenchmark.Result> results;
    private final TargetSize target;
    private final List<String> rows = new ArrayList<>();

    CapacityTable(Map<String, CostBenchmark.Result> results, TargetSize target) {
        this.results = Map.copyOf(results);
        this.target = target;
    }

    String render() {
        rows.add("| role | mechanism | law | at the target size | budget | part of the budget |");
        rows.add("| --- | --- | --- | --- | --- | --- |");
        addConfigurationRows();
        addMembershipRows();
        addStateExchangeRows();
        addClaimRows();
        addChargeRows();
        addTokenRows();
        return String.join("\n", rows) + "\n";
    }

    private void addConfigurationRows() {
        final double changesPerSecond = target.changesPerDay() / SECONDS_PER_DAY;
        addBandwidthRow(
                "entry",
                "pull of edits from a relay every 2 s",
                "changes x edit bytes + polls x header",
                changesPerSecond * EDIT_BYTES + 0.5 * HTTP_HEADER_BYTES);
        addCpuRow(
                "entry",
                "fold of edits",
                "changes x check of the document",
                changesPerSecond * fit("document-check").at(target.organisations()) / MICROS_PER_SECOND);
        addMemoryRow(
                "entry",
                "document in memory",
                "organisations",
                fit("document-memory").at(target.organisations()));
    }

    private void addMembershipRows() {
        final double probesPerSecond = SUBSET_SIZE;
        addBandwidthRow(
                "entry",
                "probes of a subset of 64, bounded by settings",
                "min(subset x status bytes, 8,000)",
                Math.min(
                        8_000,
                        probesPerSecond
                                * (HTTP_HEADER_BYTES + fit("status-bytes").at(6))));
        final double restartsPerSecond = 3_300 / SECONDS_PER_DAY;
        final double rowBytes = fit("instance-row-bytes").slope();
        addBandwidthRow(
                "entry",
                "changes of the instance list, poll each second",
                "polls x header + restarts x 2 rows",
                HTTP_HEADER_BYTES + restartsPerSecond * 2 * rowBytes);
        addMemoryRow(
                "entry",
                "view of all instances",
                "instances",
                fit("instance-view-memory").at(target.entries() + target.workers()));
        addCpuRow(
                "entry",
                "choice of the subset after each change",
                "restarts x choice over all workers",
                restartsPerSecond * 2 * fit("subset-choice").at(target.workers()) / MICROS_PER_SECOND);
    }

    private void addStateExchangeRows() {
        final double entryRowBytes = fit("demand-bytes").at(target.limitedOrganisations() / 10.0);
        final double summaryBytes = fit("demand-bytes").at(target.limitedOrganisations());
        addBandwidthRow(
                "entry",
                "demand: own row to a relay, its summary back, each second",
                "own row + domain rows, limited organisations",
                entryRowBytes + summaryBytes);
        addBandwidthRow(
                "relay",
                "demand: sums to one relay of each other failure domain, three relays in turn",
                "domains / 3 x sum",
                (target.failureDomains() - 1) * summaryBytes / 3);
        addBandwidthRow(
                "entry",
                "cache events, 1 sidecar a second, 32 events at most",
                "event bytes",
                fit("cache-event-bytes").at(32));
        addCpuRow(
                "entry",
                "fold of cache events",
                "32 events a second",
                fit("cache-event-fold").slope() * 32 / MICROS_PER_SECOND);
        addBandwidthRow(
                "entry",
                "summaries of ratings, health and roll-outs of all entries",
                "10 appends a second x 600 bytes",
                SUMMARY_APPENDS_PER_SECOND * 600);
    }

    private void addClaimRows() {
        final double keyedPerSecond = target.keyedRequestsPerSecond();
        final double keyedPerPartition = keyedPerSecond / CLAIM_PARTITIONS;
        final double record = fit("claim-record-bytes").slope();
        addAppendRow(
                "claims in 256 partitions",
                "partitions / batch interval of 2 s",
                CLAIM_PARTITIONS / CLAIM_BATCH_SECONDS);
        addBandwidthRow(
                "home entry",
                "claims and outcomes of one partition, base64",
                "keyed / partitions x 2 records x 4/3",
                keyedPerPartition * 2 * record * 4 / 3);
        addMemoryRow(
                "home entry",
                "keys of one partition for an hour",
                "keyed / partitions x lifetime",
                fit("claim-memory").slope() * keyedPerPartition * KEY_LIFETIME_SECONDS);
        addCpuRow(
                "home entry",
                "fold of claims",
                "2 records a claim",
                keyedPerPartition * 2 * fit("claim-fold").slope() / MICROS_PER_SECOND);
        addMemoryRow(
                "sidecar",
                "attempts for an hour",
                "keyed / workers x lifetime",
                fit("attempt-memory").slope() * keyedPerSecond / target.workers() * KEY_LIFETIME_SECONDS);
    }

    private void addChargeRows() {
        addAppendRow(
                "charges of all entries", "entries / batch interval of 10 s", target.entries() / CHARGE_BATCH_SECONDS);
        addBandwidthRow(
                "entry",
                "charges, base64",
                "requests x charge bytes x 4/3",
                target.requestsPerSecondPerEntry() * fit("charge-bytes").slope() * 4 / 3);
        addCpuRow(
                "entry",
                "encoding of charges",
                "requests",
                target.requestsPerSecondPerEntry() * fit("charge-encode").slope() / MICROS_PER_SECOND);
        addAppendRow("summaries of all entries", "bounded by the program", SUMMARY_APPENDS_PER_SECOND);
        addAppendRow("configuration and snapshots", "changes a day", target.changesPerDay() / SECONDS_PER_DAY);
    }

    private void addTokenRows() {
        final double coreSecondsPerToken = fit("frame-codec").slope() / MICROS_PER_SECOND;
        addRow(
                "entry",
                "frames of the answers (data, not control)",
                "tokens / entries x codec",
                coreSecondsPerToken * target.tokensPerSecond() / target.entries(),
                "core",
                Double.NaN);
        addRow(
                "sidecar",
                "frames of the answers (data, not control)",
                "tokens / workers x codec",
                coreSecondsPerToken * target.tokensPerSecond() / target.workers(),
                "core",
                Double.NaN);
    }

    private LinearFit fit(String name) {
        return results.get(name).fit();
    }

    private void addBandwidthRow(String role, String mechanism, String law, double value) {
        addRow(role, mechanism, law, value, "B/s", BANDWIDTH_BUDGET_BYTES_PER_SECOND);
    }

    private void addCpuRow(String role, String mechanism, String law, double value) {
        addRow(role, mechanism, law, value, "core", CPU_BUDGET_CORES);
    }

    private void addMemoryRow(String role, String mechanism, String law, double value) {
        addRow(role, mechanism, law, value, "B", MEMORY_BUDGET_BYTES);
    }

    private void addAppendRow(String mechanism, String law, double value) {
        addRow("log", mechanism, law, value, "appends/s", LOG_BUDGET_APPENDS_PER_SECOND);
    }

    private void addRow(String role, String mechanism, String law, double value, String unit, double budget) {
        rows.add(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s %s | %s | %s |",
                role,
                mechanism,
                law,
                formatNumber(value),
                unit,
                Double.isNaN(budget) ? "none" : formatNumber(budget) + " " + unit,
                Double.isNaN(budget) ? "" : String.format(Locale.ROOT, "%.3f", value / budget)));
    }

    private static String formatNumber(double value) {
        return value >= 100 ? String.format(Locale.ROOT, "%,.0f", value) : String.format(Locale.ROOT, "%.4f", value);
    }
}
