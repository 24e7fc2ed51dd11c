package org.masticpaddle.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Applies measured slopes to a target size and renders the rows of the capacity page. Used by one thread. */
final class CapacityTable {
    private static final double BYTES_BUDGET = 17_000;
    private static final double CORE_BUDGET = 0.038;
    private static final double MEMORY_BUDGET = 256e6;
    private static final double APPENDS_BUDGET = 400;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SUBSET = 64;
    private static final double KEY_LIFETIME_SECONDS = 3_600;
    private static final int CLAIM_PARTITIONS = 256;
    private static final double CHARGE_INTERVAL_SECONDS = 10;
    private static final double CLAIM_INTERVAL_SECONDS = 2;
    private static final double EDIT_BYTES = 2_000;
    private static final double SUMMARY_APPENDS = 10;
    private static final int HEADER_BYTES = 320;

    private final Map<String, CostBenchmark.Result> measured;
    private final TargetSize size;
    private final List<String> rows = new ArrayList<>();

    CapacityTable(Map<String, CostBenchmark.Result> measured, TargetSize size) {
        this.measured = Map.copyOf(measured);
        this.size = size;
    }

    String render() {
        rows.add("| role | mechanism | law | at the target size | budget | part of the budget |");
        rows.add("| --- | --- | --- | --- | --- | --- |");
        configuration();
        membership();
        exchange();
        claims();
        charges();
        tokens();
        return String.join("\n", rows) + "\n";
    }

    private void configuration() {
        final double changes = size.changesPerDay() / SECONDS_PER_DAY;
        bytes(
                "entry",
                "pull of edits from a relay every 2 s",
                "changes x edit bytes + polls x header",
                changes * EDIT_BYTES + 0.5 * HEADER_BYTES);
        core(
                "entry",
                "fold of edits",
                "changes x check of the document",
                changes * slope("document-check").at(size.organisations()) / MICROS_PER_SECOND);
        memory(
                "entry",
                "document in memory",
                "organisations",
                slope("document-memory").at(size.organisations()));
    }

    private void membership() {
        final double probes = SUBSET;
        bytes(
                "entry",
                "probes of a subset of 64, bounded by settings",
                "min(subset x status bytes, 8,000)",
                Math.min(8_000, probes * (HEADER_BYTES + slope("status-bytes").at(6))));
        final double restarts = 3_300 / SECONDS_PER_DAY;
        final double row = slope("instance-row-bytes").slope();
        bytes(
                "entry",
                "changes of the instance list, poll each second",
                "polls x header + restarts x 2 rows",
                HEADER_BYTES + restarts * 2 * row);
        memory(
                "entry",
                "view of all instances",
                "instances",
                slope("instance-view-memory").at(size.entries() + size.workers()));
        core(
                "entry",
                "choice of the subset after each change",
                "restarts x choice over all workers",
                restarts * 2 * slope("subset-choice").at(size.workers()) / MICROS_PER_SECOND);
    }

    private void exchange() {
        final double own = slope("demand-bytes").at(size.limitedOrganisations() / 10.0);
        final double all = slope("demand-bytes").at(size.limitedOrganisations());
        bytes(
                "entry",
                "demand: own row to a relay, its summary back, each second",
                "own row + domain rows, limited organisations",
                own + all);
        bytes(
                "relay",
                "demand: sums to one relay of each other failure domain, three relays in turn",
                "domains / 3 x sum",
                (size.failureDomains() - 1) * all / 3);
        bytes(
                "entry",
                "cache events, 1 sidecar a second, 32 events at most",
                "event bytes",
                slope("cache-event-bytes").at(32));
        core(
                "entry",
                "fold of cache events",
                "32 events a second",
                slope("cache-event-fold").slope() * 32 / MICROS_PER_SECOND);
        bytes(
                "entry",
                "summaries of ratings, health and roll-outs of all entries",
                "10 appends a second x 600 bytes",
                SUMMARY_APPENDS * 600);
    }

    private void claims() {
        final double keyed = size.keyedPerSecond();
        final double partition = keyed / CLAIM_PARTITIONS;
        final double record = slope("claim-record-bytes").slope();
        appends(
                "claims in 256 partitions",
                "partitions / batch interval of 2 s",
                CLAIM_PARTITIONS / CLAIM_INTERVAL_SECONDS);
        bytes(
                "home entry",
                "claims and outcomes of one partition, base64",
                "keyed / partitions x 2 records x 4/3",
                partition * 2 * record * 4 / 3);
        memory(
                "home entry",
                "keys of one partition for an hour",
                "keyed / partitions x lifetime",
                slope("claim-memory").slope() * partition * KEY_LIFETIME_SECONDS);
        core(
                "home entry",
                "fold of claims",
                "2 records a claim",
                partition * 2 * slope("claim-fold").slope() / MICROS_PER_SECOND);
        memory(
                "sidecar",
                "attempts for an hour",
                "keyed / workers x lifetime",
                slope("attempt-memory").slope() * keyed / size.workers() * KEY_LIFETIME_SECONDS);
    }

    private void charges() {
        appends("charges of all entries", "entries / batch interval of 10 s", size.entries() / CHARGE_INTERVAL_SECONDS);
        bytes(
                "entry",
                "charges, base64",
                "requests x charge bytes x 4/3",
                size.requestsPerEntry() * slope("charge-bytes").slope() * 4 / 3);
        core(
                "entry",
                "encoding of charges",
                "requests",
                size.requestsPerEntry() * slope("charge-encode").slope() / MICROS_PER_SECOND);
        appends("summaries of all entries", "bounded by the program", SUMMARY_APPENDS);
        appends("configuration and snapshots", "changes a day", size.changesPerDay() / SECONDS_PER_DAY);
    }

    private void tokens() {
        final double codec = slope("frame-codec").slope() / MICROS_PER_SECOND;
        row(
                "entry",
                "frames of the answers (data, not control)",
                "tokens / entries x codec",
                codec * size.tokensPerSecond() / size.entries(),
                "core",
                Double.NaN);
        row(
                "sidecar",
                "frames of the answers (data, not control)",
                "tokens / workers x codec",
                codec * size.tokensPerSecond() / size.workers(),
                "core",
                Double.NaN);
    }

    private LinearFit slope(String name) {
        return measured.get(name).fit();
    }

    private void bytes(String role, String mechanism, String law, double value) {
        row(role, mechanism, law, value, "B/s", BYTES_BUDGET);
    }

    private void core(String role, String mechanism, String law, double value) {
        row(role, mechanism, law, value, "core", CORE_BUDGET);
    }

    private void memory(String role, String mechanism, String law, double value) {
        row(role, mechanism, law, value, "B", MEMORY_BUDGET);
    }

    private void appends(String mechanism, String law, double value) {
        row("log", mechanism, law, value, "appends/s", APPENDS_BUDGET);
    }

    private void row(String role, String mechanism, String law, double value, String unit, double budget) {
        rows.add(String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s %s | %s | %s |",
                role,
                mechanism,
                law,
                number(value),
                unit,
                Double.isNaN(budget) ? "none" : number(budget) + " " + unit,
                Double.isNaN(budget) ? "" : String.format(Locale.ROOT, "%.3f", value / budget)));
    }

    private static String number(double value) {
        return value >= 100 ? String.format(Locale.ROOT, "%,.0f", value) : String.format(Locale.ROOT, "%.4f", value);
    }
}
