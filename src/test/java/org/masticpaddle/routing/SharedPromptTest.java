package org.masticpaddle.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticpaddle.fleet.PromptSegment;

import static com.google.common.truth.Truth.assertThat;

/** Guards against shared prompt segments that engines read again and again, because each gateway places them on its own. */
class SharedPromptTest {
    private static final long WARM_UP_MILLIS = 15_000;
    private static final long MEASURED_MILLIS = 30_000;
    private static final double MAX_READ_SHARE = 0.25;

    @ParameterizedTest
    @CsvSource({"4,8,65,9", "25,32,251,36", "33,42,330,48"})
    void shouldReadLargeSharedSegmentsSeldom(int gateways, int engines, int segments, double requestsPerSecond) {
        final List<List<PromptSegment>> chains = IntStream.range(0, segments)
                .mapToObj(index -> List.of(new PromptSegment("shared-" + index, 13_300)))
                .toList();
        check(gateways, engines, chains, requestsPerSecond);
    }

    @ParameterizedTest
    @CsvSource({"4,8,48,12", "25,32,185,48", "33,42,250,62"})
    void shouldReadNestedSharedSegmentsSeldom(int gateways, int engines, int segments, double requestsPerSecond) {
        final List<List<PromptSegment>> chains = IntStream.range(0, segments)
                .mapToObj(index -> List.of(
                        new PromptSegment("route-" + index % 4, 2_520),
                        new PromptSegment("organisation-" + index, 3_780)))
                .toList();
        check(gateways, engines, chains, requestsPerSecond);
    }

    private static void check(int gateways, int engines, List<List<PromptSegment>> chains, double requestsPerSecond) {
        final SharedPromptReplay replay = new SharedPromptReplay(gateways, engines, chains, 20_261_205);
        replay.run(WARM_UP_MILLIS, requestsPerSecond);
        replay.resetCounts();
        replay.run(MEASURED_MILLIS, requestsPerSecond);
        System.out.printf(
                "%d gateways, %d engines: %.3f of the shared tokens read again, %.0f ms to the first token%n",
                gateways, engines, replay.readShare(), replay.meanWaitMillis());
        assertThat(replay.readShare()).isAtMost(MAX_READ_SHARE);
    }
}
