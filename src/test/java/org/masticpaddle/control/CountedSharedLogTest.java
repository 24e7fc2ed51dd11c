package org.masticpaddle.control;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.metrics.Gauge;

import static com.google.common.truth.Truth.assertThat;

class CountedSharedLogTest {
    private final CountedSharedLog log = new CountedSharedLog(new FakeSharedLog(new FakeScheduler()));

    @Test
    void shouldCountCallsByStreamAndKind() {
        log.newest(LogStream.OPERATOR, "");
        log.read(LogStream.OPERATOR, 0, Duration.ZERO);
        log.read(LogStream.OPERATOR, 0, Duration.ZERO);
        log.append(LogStream.STATUS, "service", new byte[] {1}, OptionalLong.empty());

        assertThat(log.summary()).isEqualTo("operator.list 1, operator.read 2, status.append 1");
        assertThat(log.gauge().readings().get())
                .contains(new Gauge.Reading(2, Map.of("stream", "operator", "call", "read")));
    }
}
