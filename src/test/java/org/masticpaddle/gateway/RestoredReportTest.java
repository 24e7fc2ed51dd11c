package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.quarantine.CrashReport;
import org.masticpaddle.quarantine.GatewayReport;
import org.masticpaddle.quarantine.SegmentQuarantine;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a report that its gateway has withdrawn and that holds again because the log came back from an older copy. */
class RestoredReportTest {
    private static final long TICK_MILLIS = 100;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams streams = new FakeStreams(scheduler);
    private long wallMillis = 1;

    @Test
    void shouldWithdrawAReportAgainThatTheRestoredLogHolds() {
        streams.nameEras();
        final GatewayReport report =
                new GatewayReport(List.of(new CrashReport("s", "engine@1", wallMillis, Set.of("segment"))), List.of());
        streams.log(LogStream.CRASH_REPORTS).put("g", new String(Json.encode(report), StandardCharsets.UTF_8));
        final QuarantineCoordinator coordinator = new QuarantineCoordinator(
                "g",
                streams,
                origin -> new CompletableFuture<>(),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
                () -> wallMillis,
                new DecisionLog("g", () -> 0, text -> {}));
        coordinator.start();
        advance(coordinator, 500);
        assertThat(reportCount()).isEqualTo(1);
        wallMillis += 2 * SegmentQuarantine.EVIDENCE_MILLIS;
        advance(coordinator, 1_000);
        assertThat(reportCount()).isEqualTo(0);
        streams.restore(stream -> 1);
        assertThat(reportCount()).isEqualTo(1);
        advance(coordinator, 2_000);
        assertThat(reportCount()).isEqualTo(0);
    }

    private void advance(QuarantineCoordinator coordinator, long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            scheduler.advance(TICK_MILLIS);
            coordinator.tick();
        }
    }

    private int reportCount() {
        return streams.log(LogStream.CRASH_REPORTS)
                .newest(LogStream.CRASH_REPORTS, "")
                .join()
                .records()
                .size();
    }
}
