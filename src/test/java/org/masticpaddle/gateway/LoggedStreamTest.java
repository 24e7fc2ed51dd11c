package org.masticpaddle.gateway;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an outage of a stream whose start, end or duration is missing in the log. */
class LoggedStreamTest {
    private final FakeScheduler scheduler = new FakeScheduler();
    private final List<String> output = new CopyOnWriteArrayList<>();

    @Test
    void shouldWriteStartEndAndDurationOfAnOutage() {
        final DecisionLog log = new DecisionLog("g", () -> 0, output::add);
        log.start();
        final LoggedStream stream =
                new LoggedStream(LogStream.STATUS, "log/status", keyedRecord -> {}, scheduler::nanos, log);
        stream.onAvailable();
        scheduler.advance(1_000);
        stream.onUnavailable("status 503");
        scheduler.advance(2_500);
        stream.onAvailable();
        log.stop();
        final List<String> lines = String.join("", output).lines().toList();
        assertThat(lines).hasSize(3);
        assertThat(lines.get(0)).contains("\"event\":\"dependency.regained\"");
        assertThat(lines.get(0)).doesNotContain("outage_ms");
        assertThat(lines.get(1)).contains("\"event\":\"dependency.lost\"");
        assertThat(lines.get(1)).contains("\"dependency\":\"log/status\",\"reason\":\"status 503\"");
        assertThat(lines.get(2)).contains("\"dependency\":\"log/status\",\"outage_ms\":2500.0");
    }
}
