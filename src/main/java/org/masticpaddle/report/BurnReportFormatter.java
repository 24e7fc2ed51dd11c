package org.masticpaddle.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes a burn report for people. Thread-safe, having no state. */
public final class BurnReportFormatter {
    private BurnReportFormatter() {}

    /**
     * Writes plain text.
     *
     * @param report the report
     * @return lines, each with its end
     */
    public static String formatText(BurnReport report) {
        final StringBuilder text = new StringBuilder(formatHeading(report)).append("\n\n");
        text.append(String.format("%-16s %-10s %9s", "organisation", "rank", "target"));
        for (final BurnWindow window : BurnWindow.values()) {
            text.append(String.format("%18s", window.label()));
        }
        text.append("  alerts\n");
        for (final BurnReport.Group group : report.groups()) {
            text.append(String.format(
                    Locale.ROOT,
                    "%-16s %-10s %6d ms",
                    group.organisation(),
                    group.rank().label(),
                    group.targetMillis()));
            for (final BurnWindow window : BurnWindow.values()) {
                text.append(String.format("%18s", formatCell(group, window)));
            }
            text.append("  ").append(formatAlerts(group)).append('\n');
        }
        return text.append("\nEach cell: burn rate (missed/requests).\n").toString();
    }

    /**
     * Writes an HTML page with a chart.
     *
     * @param report the report
     * @return the page, complete in itself
     */
    public static String formatHtml(BurnReport report) {
        final StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>Service-level burn</title>\n<style>body{font-family:sans-serif;margin:2em}"
                + "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ccc}"
                + "td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}.alert{background:#fbe3e0}</style></head>\n"
                + "<body><h1>Service-level burn</h1>\n");
        page.append("<p>").append(escapeHtml(formatHeading(report))).append("</p>\n");
        page.append("<p><img alt=\"burn rate by rank\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(BurnChart.renderPng(report)))
                .append("\"></p>\n<table><tr><th>organisation</th><th>rank</th><th>target</th>");
        for (final BurnWindow window : BurnWindow.values()) {
            page.append("<th>").append(window.label()).append("</th>");
        }
        page.append("<th>alerts</th></tr>\n");
        for (final BurnReport.Group group : report.groups()) {
            page.append(group.alerts().isEmpty() ? "<tr>" : "<tr class=\"alert\">")
                    .append("<td>")
                    .append(escapeHtml(group.organisation()))
                    .append("</td><td>")
                    .append(group.rank().label())
                    .append("</td><td>")
                    .append(group.targetMillis())
                    .append(" ms</td>");
            for (final BurnWindow window : BurnWindow.values()) {
                page.append("<td>").append(formatCell(group, window)).append("</td>");
            }
            page.append("<td>").append(formatAlerts(group)).append("</td></tr>\n");
        }
        return page.append("</table>\n<p>Each cell: burn rate (missed/requests).</p></body></html>\n")
                .toString();
    }

    private static String formatHeading(BurnReport report) {
        final String end = "at " + Instant.ofEpochMilli(report.atMillis()) + ", objective " + report.objective();
        if (report.groups().isEmpty()) {
            return end + ", no records";
        }
        final Duration covered = Duration.ofMillis(report.atMillis() - report.coveredFromMillis());
        return end + ", records of the last " + covered.toHours() + " h " + covered.toMinutesPart() + " min";
    }

    private static String formatCell(BurnReport.Group group, BurnWindow window) {
        final BurnReport.Burn burn = group.windows().get(window);
        return burn == null
                ? "-"
                : String.format(Locale.ROOT, "%.2f (%d/%d)", burn.rate(), burn.bad(), burn.requests());
    }

    private static String formatAlerts(BurnReport.Group group) {
        return group.alerts().stream()
                .map(alert -> alert.name().toLowerCase(Locale.ROOT))
                .collect(Collectors.joining(", "));
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
