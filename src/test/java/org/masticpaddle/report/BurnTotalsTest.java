package org.masticpaddle.report;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import javax.imageio.ImageIO;

import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.Rank;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a report that hides a burning budget, or that raises an alert after its cause has gone. */
class BurnTotalsTest {
    private static final long NOW = 1_700_000_000_000L;
    private static final long MINUTE = 60_000;

    private final BurnTotals totals = new BurnTotals(NOW, 0.95);
    private long sequence;

    @Test
    void shouldDivideTheMissedShareByTheBudget() {
        add(2 * MINUTE, 90, 5, 10, 0);
        add(30 * MINUTE, 100, 0, 0, 7);
        add(5 * 24 * 60 * MINUTE, 0, 0, 1_000, 0);
        final BurnReport.Group group = totals.report().groups().get(0);
        assertThat(group.windows().get(BurnWindow.MINUTES_5).rate())
                .isWithin(1e-9)
                .of(15 / 100.0 / 0.05);
        assertThat(group.windows().get(BurnWindow.HOUR_1).requests()).isEqualTo(200);
        assertThat(group.windows().get(BurnWindow.HOUR_1).bad()).isEqualTo(15);
        assertThat(group.windows().get(BurnWindow.HOUR_1).rate()).isWithin(1e-9).of(15 / 200.0 / 0.05);
        assertThat(group.windows().get(BurnWindow.DAYS_3).requests()).isEqualTo(200);
        assertThat(group.refused()).containsExactly("limit_reached", 7L, "overloaded", 10L);
    }

    @Test
    void shouldAlertOnlyWhileBothWindowsBurn() {
        add(30 * MINUTE, 0, 0, 100, 0);
        assertThat(totals.report().groups().get(0).alerts()).doesNotContain(BurnAlert.FAST);
        add(MINUTE, 0, 0, 10, 0);
        assertThat(totals.report().groups().get(0).alerts()).contains(BurnAlert.FAST);
        add(MINUTE, 1_000, 0, 0, 0);
        assertThat(totals.report().groups().get(0).alerts()).doesNotContain(BurnAlert.FAST);
    }

    @Test
    void shouldReachEveryThresholdAtAnyObjective() {
        for (final double objective : new double[] {0.5, 0.9, 0.99}) {
            assertThat(BurnAlert.raisedAlerts(
                            Map.of(
                                    BurnWindow.MINUTES_5,
                                    1 / (1 - objective),
                                    BurnWindow.HOUR_1,
                                    1 / (1 - objective),
                                    BurnWindow.HOURS_6,
                                    1 / (1 - objective)),
                            objective))
                    .contains(BurnAlert.FAST);
        }
    }

    @Test
    void shouldCountARepeatedRecordOnce() {
        final IntervalRecord interval = interval(MINUTE, 10, 0, 0, 0);
        final IntervalRecord decoded = Json.decode(Json.encode(interval), IntervalRecord.class);
        totals.add(interval);
        totals.add(decoded);
        assertThat(totals.report()
                        .groups()
                        .get(0)
                        .windows()
                        .get(BurnWindow.MINUTES_5)
                        .requests())
                .isEqualTo(10);
    }

    @Test
    void shouldEmbedAReadableChartInThePage() throws IOException {
        assertThat(BurnReportFormatter.formatHtml(totals.report())).contains("no records");
        for (int step = 70; step >= 0; step--) {
            add(step * 5 * MINUTE, 100, step % 9, step > 40 && step < 50 ? 30 : 0, 0);
        }
        final String page = BurnReportFormatter.formatHtml(totals.report());
        assertThat(page).contains("data:image/png;base64,");
        assertThat(ImageIO.read(new ByteArrayInputStream(BurnChart.renderPng(totals.report())))
                        .getWidth())
                .isEqualTo(960);
        assertThat(BurnReportFormatter.formatText(totals.report())).contains("north");
    }

    private void add(long ageMillis, long answered, long late, long missed, long limited) {
        totals.add(interval(ageMillis, answered, late, missed, limited));
    }

    private IntervalRecord interval(long ageMillis, long answered, long late, long missed, long limited) {
        final IntervalRecord.Row row = new IntervalRecord.Row(
                "north",
                Rank.STANDARD,
                1_000,
                answered,
                late,
                missed,
                limited + missed == 0 ? Map.of() : Map.of("limit_reached", limited, "overloaded", missed));
        return new IntervalRecord("entry#1", ++sequence, NOW - ageMillis - 10_000, NOW - ageMillis, List.of(row));
    }
}
