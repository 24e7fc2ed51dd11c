package org.masticpaddle.gateway;

import java.util.Collections;
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
        assertThat(learned.largestPart()).isAtMost(utilisation < 0.5 ? ignored.largestPart() : 1.3);
    }

    @ParameterizedTest
    @CsvSource({"0.5, 9", "0.7, 10", "0.85, 11"})
    void shouldStartAnswersSoonerWhereEnginesReportTheirWorkFactors(double utilisation, long seed) {
        final List<Double> factors = IntStream.range(0, ENGINES)
                .mapToObj(index -> List.of(0.6, 1.0, 1.6).get(index % 3))
                .toList();
        final UnevenEnginesReplay silent = replay(factors, UpstreamSpeeds.IGNORED, utilisation, seed);
        final UnevenEnginesReplay reporting = new UnevenEnginesReplay(GATEWAYS, factors, UpstreamSpeeds.IGNORED, seed);
        for (int index = 0; index < ENGINES; index++) {
            reporting.report(index, factors.get(index));
        }
        run(reporting, utilisation);
        System.out.printf(
                "utilisation %.2f: %.1f ms to the first event, with work factors %.1f ms, largest part %.2f%n",
                utilisation, silent.meanWaitMillis(), reporting.meanWaitMillis(), reporting.largestPart());
        assertThat(reporting.meanWaitMillis()).isLessThan(silent.meanWaitMillis());
        assertThat(reporting.largestPart()).isAtMost(utilisation < BUSY ? silent.largestPart() : 1.3);
    }

    /** Guards against an upstream that attracts all requests, or drives the estimates of others off, by a wrong figure. */
    @ParameterizedTest
    @CsvSource({"0.01, IGNORED, 12", "0.01, LEARNED, 13", "100, IGNORED, 14", "100, LEARNED, 15"})
    void shouldServeAllRequestsWhileOneEngineReportsAWrongWorkFactor(
            double wrongFactor, UpstreamSpeeds speeds, long seed) {
        final UnevenEnginesReplay right = replayReports(1, speeds, seed);
        final UnevenEnginesReplay wrong = replayReports(wrongFactor, speeds, seed);
        System.out.printf(
                "one engine reports %.2f, speeds %s: it gets %.2f of its part, %.1f ms to the first event instead of %.1f ms%n",
                wrongFactor, speeds, wrong.part(0), wrong.meanWaitMillis(), right.meanWaitMillis());
        assertThat(wrong.part(0)).isAtMost(1.3);
        assertThat(wrong.meanWaitMillis()).isAtMost(1.25 * right.meanWaitMillis());
    }

    /** Replays equal engines that report the usual work factor, apart from the first one. */
    private static UnevenEnginesReplay replayReports(double firstFactor, UpstreamSpeeds speeds, long seed) {
        final UnevenEnginesReplay replay =
                new UnevenEnginesReplay(GATEWAYS, Collections.nCopies(ENGINES, 1.0), speeds, seed);
        for (int index = 0; index < ENGINES; index++) {
            replay.report(index, index == 0 ? firstFactor : 1);
        }
        run(replay, BUSY);
        return replay;
    }

    private static UnevenEnginesReplay replay(
            List<Double> factors, UpstreamSpeeds speeds, double utilisation, long seed) {
        final UnevenEnginesReplay replay = new UnevenEnginesReplay(GATEWAYS, factors, speeds, seed);
        run(replay, utilisation);
        return replay;
    }

    private static void run(UnevenEnginesReplay replay, double utilisation) {
        replay.run(WARM_UP_MILLIS, utilisation);
        replay.resetCounts();
        replay.run(DURATION_MILLIS, utilisation);
    }
}
