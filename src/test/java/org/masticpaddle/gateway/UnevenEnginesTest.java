package org.masticpaddle.gateway;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticpaddle.routing.UpstreamSpeeds;

import static com.google.common.truth.Truth.assertThat;

/** Guards against engines that are taken for equally fast, and against gateways that all send to the fastest one. */
class UnevenEnginesTest {
    private static final int GATEWAYS = 20;
    private static final int ENGINES = 27;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final long DURATION_MILLIS = 30_000;
    /** Utilisation from which an engine that gets too large a part of the requests is overloaded. */
    private static final double BUSY = 0.7;

    @ParameterizedTest
    @CsvSource({
        "0.6, 1, 1.6, 0.25, 1",
        "0.6, 1, 1.6, 0.5, 2",
        "0.6, 1, 1.6, 0.7, 3",
        "0.6, 1, 1.6, 0.85, 4",
        "1, 1, 1.3, 0.5, 5",
        "1, 1, 1.3, 0.7, 6",
        "1, 1, 1.3, 0.85, 7",
        "1, 1, 0.77, 0.7, 8"
    })
    void shouldStartAnswersSoonerWithoutHerdingToFastEngines(
            double first, double second, double third, double utilisation, long seed) {
        final List<Double> factors = IntStream.range(0, ENGINES)
                .mapToObj(index -> List.of(first, second, third).get(index % 3))
                .toList();
        final UnevenEnginesReplay ignored = replay(factors, UpstreamSpeeds.IGNORED, utilisation, seed);
        final UnevenEnginesReplay learned = replay(factors, UpstreamSpeeds.LEARNED, utilisation, seed);
        System.out.printf(
                "factors %s, utilisation %.2f: %.1f ms to the first event, largest part %.2f; with learned speeds %.1f ms, %.2f%n",
                factors.subList(0, 3),
                utilisation,
                ignored.meanWaitMillis(),
                ignored.largestPart(),
                learned.meanWaitMillis(),
                learned.largestPart());
        assertThat(learned.meanWaitMillis()).isLessThan(ignored.meanWaitMillis());
        assertThat(learned.largestPart()).isAtMost(utilisation < BUSY ? ignored.largestPart() : 1.3);
    }

    private static UnevenEnginesReplay replay(
            List<Double> factors, UpstreamSpeeds speeds, double utilisation, long seed) {
        final UnevenEnginesReplay replay = new UnevenEnginesReplay(GATEWAYS, factors, speeds, seed);
        replay.run(WARM_UP_MILLIS, utilisation);
        replay.resetCounts();
        replay.run(DURATION_MILLIS, utilisation);
        return replay;
    }
}
