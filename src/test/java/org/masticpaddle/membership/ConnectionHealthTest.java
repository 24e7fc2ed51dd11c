package org.masticpaddle.membership;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against keeping stalled connections, and against closing connections to an upstream that is down. */
class ConnectionHealthTest {
    private static final long PROBE_INTERVAL_MILLIS = 1000;
    private static final long STALL_MILLIS = 3 * PROBE_INTERVAL_MILLIS;

    private final ConnectionHealth health = new ConnectionHealth(PROBE_INTERVAL_MILLIS);

    @Test
    void shouldCloseAStalledConnectionOnlyAfterASuccessfulProbe() {
        health.requestStarted(1, "a", 0);
        health.requestStarted(2, "a", 0);
        health.bytesReceived(2, 2000);
        assertThat(health.upstreamsToProbe(STALL_MILLIS - 1)).isEmpty();
        assertThat(health.upstreamsToProbe(STALL_MILLIS)).containsExactly("a");
        assertThat(health.upstreamsToProbe(STALL_MILLIS + 1)).isEmpty();
        assertThat(health.probeSucceeded("a", STALL_MILLIS + 10)).containsExactly(1L);
        assertThat(health.probeSucceeded("a", STALL_MILLIS + 20)).isEmpty();
    }

    @Test
    void shouldRetryAFailedProbeAfterOneInterval() {
        health.requestStarted(1, "a", 0);
        assertThat(health.upstreamsToProbe(STALL_MILLIS)).containsExactly("a");
        health.probeFailed("a", STALL_MILLIS + 500);
        assertThat(health.upstreamsToProbe(STALL_MILLIS + 1000)).isEmpty();
        assertThat(health.upstreamsToProbe(STALL_MILLIS + 1500)).containsExactly("a");
        assertThat(health.probeSucceeded("a", STALL_MILLIS + 1600)).containsExactly(1L);
    }

    @Test
    void shouldNotProbeForAnIdleOrClosedConnection() {
        health.requestStarted(1, "a", 0);
        health.requestEnded(1);
        assertThat(health.upstreamsToProbe(10 * STALL_MILLIS)).isEmpty();
        health.requestStarted(1, "a", 10 * STALL_MILLIS);
        assertThat(health.upstreamsToProbe(11 * STALL_MILLIS - 1)).isEmpty();
        health.connectionClosed(1);
        assertThat(health.upstreamsToProbe(20 * STALL_MILLIS)).isEmpty();
    }

    @Test
    void shouldOrderIncarnationsByStartTime() {
        final Incarnation first = Incarnation.of(1_700_000_000_000L, -1);
        final Incarnation second = Incarnation.of(1_700_000_000_001L, 0);
        assertThat(first).isLessThan(second);
        assertThat(second.startMillis()).isEqualTo(1_700_000_000_001L);
    }
}
