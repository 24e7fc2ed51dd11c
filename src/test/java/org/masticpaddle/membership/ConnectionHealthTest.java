package org.masticpaddle.membership;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against silent connections that are kept, and against closing connections of an upstream that is down. */
class ConnectionHealthTest {
    private static final long INTERVAL = 1000;
    private static final long LIMIT = 3 * INTERVAL;

    private final ConnectionHealth health = new ConnectionHealth(INTERVAL);

    @Test
    void shouldCloseASilentConnectionOnlyAfterAProbeWorked() {
        health.began(1, "a", 0);
        health.began(2, "a", 0);
        health.heard(2, 2000);
        assertThat(health.suspects(LIMIT - 1)).isEmpty();
        assertThat(health.suspects(LIMIT)).containsExactly("a");
        assertThat(health.suspects(LIMIT + 1)).isEmpty();
        assertThat(health.probeWorked("a", LIMIT + 10)).containsExactly(1L);
        assertThat(health.probeWorked("a", LIMIT + 20)).isEmpty();
    }

    @Test
    void shouldProbeAgainAnIntervalAfterAProbeFailed() {
        health.began(1, "a", 0);
        assertThat(health.suspects(LIMIT)).containsExactly("a");
        health.probeFailed("a", LIMIT + 500);
        assertThat(health.suspects(LIMIT + 1000)).isEmpty();
        assertThat(health.suspects(LIMIT + 1500)).containsExactly("a");
        assertThat(health.probeWorked("a", LIMIT + 1600)).containsExactly(1L);
    }

    @Test
    void shouldNotSuspectAConnectionWithoutWork() {
        health.began(1, "a", 0);
        health.ended(1);
        assertThat(health.suspects(10 * LIMIT)).isEmpty();
        health.began(1, "a", 10 * LIMIT);
        assertThat(health.suspects(11 * LIMIT - 1)).isEmpty();
        health.closed(1);
        assertThat(health.suspects(20 * LIMIT)).isEmpty();
    }

    @Test
    void shouldOrderIncarnationsByStart() {
        final Incarnation first = Incarnation.of(1_700_000_000_000L, -1);
        final Incarnation second = Incarnation.of(1_700_000_000_001L, 0);
        assertThat(first).isLessThan(second);
        assertThat(second.startMillis()).isEqualTo(1_700_000_000_001L);
    }
}
