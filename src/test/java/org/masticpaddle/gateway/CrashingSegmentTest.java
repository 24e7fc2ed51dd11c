package org.masticpaddle.gateway;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.control.LogStream;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a prompt segment that crashes one upstream after the other, and against sound segments that are rejected
 * because of ordinary crashes.
 */
class CrashingSegmentTest {
    private static final double SOUND_PER_SECOND = 40;
    private static final double CRASHING_PER_SECOND = 6;
    private static final long STABLE_MILLIS = 3_000;
    private static final int MAX_ARRIVALS = 3;
    private static final double MIN_SOUND_SHARE = 0.5;
    private static final long EPISODE_MILLIS = 30_000;
    /** Two a second for ten seconds, and the one that returns the first report. */
    private static final int MAX_READS_AFTER_CRASH = 21;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void shouldStopSendingSegmentAfterItsCrashes(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.run(10_000, SOUND_PER_SECOND, 0);
        deployment.run(EPISODE_MILLIS, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertStopped(deployment, deployment.crashMillis().get(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldStopSendingSegmentInLargeDeployment(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(25, 32, seed);
        deployment.run(8_000, 150, 0);
        deployment.run(EPISODE_MILLIS, 150, 20);
        assertStopped(deployment, deployment.crashMillis().get(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldTellRestartedGatewaysOfSegment(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.run(5_000, SOUND_PER_SECOND, 0);
        deployment.run(5_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        for (int index = 0; index < 4; index++) {
            deployment.restartGateway(index);
            deployment.run(1_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        }
        deployment.run(EPISODE_MILLIS, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertStopped(deployment, deployment.crashMillis().get(0));
    }

    /** The restored log holds no report, and every gateway is restarted after that. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldTellRestartedGatewaysOfSegmentWhoseReportsTheLogHasLost(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.sharedLog().nameEras();
        deployment.run(5_000, SOUND_PER_SECOND, 0);
        deployment.run(5_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        final int reports = deployment.sharedLog().recordCount(LogStream.CRASH_REPORTS);
        assertThat(reports).isAtLeast(1);
        deployment.sharedLog().restore(stream -> 0);
        deployment.run(1_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertThat(deployment.sharedLog().recordCount(LogStream.CRASH_REPORTS)).isAtLeast(1);
        for (int index = 0; index < 4; index++) {
            deployment.restartGateway(index);
            deployment.run(1_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        }
        deployment.run(EPISODE_MILLIS, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertStopped(deployment, deployment.crashMillis().get(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldLearnOfSegmentAfterOutageOfLog(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.run(5_000, SOUND_PER_SECOND, 0);
        deployment.sharedLog().setUnavailable(true);
        deployment.run(6_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        deployment.sharedLog().setUnavailable(false);
        final long endOfOutage = deployment.millis();
        deployment.run(EPISODE_MILLIS, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertThat(deployment.crashingArrivalsAfter(endOfOutage + STABLE_MILLIS))
                .isAtMost(MAX_ARRIVALS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void shouldServeSoundRequestsDespiteOrdinaryCrashes(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.run(3_000, SOUND_PER_SECOND, 0);
        deployment.resetCounts();
        for (int wave = 0; wave < 10; wave++) {
            deployment.crashEngines(1 + wave % 3);
            deployment.run(3_500, SOUND_PER_SECOND, 0);
        }
        assertThat(deployment.soundRejected()).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldServeSoundRequestsAfterTotalOutage(long seed) {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, seed);
        deployment.run(2_000, SOUND_PER_SECOND, 0);
        deployment.crashEngines(6);
        deployment.run(3_000, SOUND_PER_SECOND, 0);
        deployment.crashEngines(6);
        deployment.run(3_000, SOUND_PER_SECOND, 0);
        deployment.resetCounts();
        deployment.run(10_000, SOUND_PER_SECOND, 0);
        assertThat(deployment.soundRejected()).isAtMost(deployment.soundSent() / 100);
    }

    @Test
    void shouldWriteNothingWithoutCrashes() {
        final CrashingDeployment deployment = new CrashingDeployment(4, 6, 1);
        deployment.run(30_000, SOUND_PER_SECOND, 0);
        assertThat(deployment.crashMillis()).isEmpty();
        assertThat(deployment.sharedLog().crashReports()).isEqualTo(0);
    }

    /** Load pattern: many engines crash at the same moment while many gateways have requests there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void shouldReadReportsOfManyGatewaysTogether(long seed) {
        final int gateways = 25;
        final CrashingDeployment deployment = new CrashingDeployment(gateways, 32, seed);
        deployment.run(2_000, 600, 0);
        final int readsBefore = deployment.sharedLog().crashReportReads();
        deployment.crashEngines(16);
        deployment.run(10_000, 600, 0);
        assertThat(deployment.sharedLog().crashReports()).isAtLeast(gateways / 2);
        assertThat(deployment.sharedLog().crashReportReads() - readsBefore).isAtMost(gateways * MAX_READS_AFTER_CRASH);
    }

    private static void assertStopped(CrashingDeployment deployment, long firstCrashMillis) {
        final long stableMillis = deployment.crashMillis().size() < 5
                ? firstCrashMillis + EPISODE_MILLIS
                : deployment.crashMillis().get(4) + STABLE_MILLIS;
        assertThat(deployment.crashingArrivalsAfter(stableMillis)).isAtMost(MAX_ARRIVALS);
        deployment.resetCounts();
        deployment.run(10_000, SOUND_PER_SECOND, CRASHING_PER_SECOND);
        assertThat(deployment.soundShare()).isAtLeast(MIN_SOUND_SHARE);
    }
}
