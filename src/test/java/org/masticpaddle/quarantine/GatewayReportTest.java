package org.masticpaddle.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GatewayReportTest {
    private static final CrashReport CRASH = new CrashReport("engines", "e-1", 5, Set.of("a1"));
    private static final Clearance CLEARANCE = new Clearance("engines", "a1", "e-1");

    @Test
    void shouldBeEqualIfAllCrashesAndClearancesAre() {
        final GatewayReport report = new GatewayReport(List.of(CRASH), List.of(CLEARANCE));

        assertThat(report).isEqualTo(new GatewayReport(List.of(CRASH), List.of(CLEARANCE)));
        assertThat(report.hashCode()).isEqualTo(new GatewayReport(List.of(CRASH), List.of(CLEARANCE)).hashCode());
        assertThat(report).isNotEqualTo(new GatewayReport(List.of(), List.of(CLEARANCE)));
        assertThat(report).isNotEqualTo(new GatewayReport(List.of(CRASH), List.of()));
        assertThat(report).isNotEqualTo(null);
    }

    @Test
    void shouldIdentifyASegmentByItsServiceAndIdentifier() {
        final SegmentKey key = new SegmentKey("engines", "a1");

        assertThat(key).isEqualTo(new SegmentKey("engines", "a1"));
        assertThat(key.hashCode()).isEqualTo(new SegmentKey("engines", "a1").hashCode());
        assertThat(key).isNotEqualTo(new SegmentKey("engines", "a2"));
        assertThat(key).isNotEqualTo(new SegmentKey("plain", "a1"));
        assertThat(key).isNotEqualTo("engines");
    }
}
