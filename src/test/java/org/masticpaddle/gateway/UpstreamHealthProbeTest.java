package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.wire.HttpRequestException;

import static com.google.common.truth.Truth.assertThat;

/** Guards against running work that is given up because an upstream is silent for a while or one packet is lost. */
class UpstreamHealthProbeTest {
    private static final URI ORIGIN = URI.create("http://127.0.0.1:1");
    private static final long UNRESPONSIVE_MILLIS = 600;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final List<CompletableFuture<Void>> connections = new ArrayList<>();
    private final List<URI> closed = new ArrayList<>();
    private final UpstreamRegistry registry = new UpstreamRegistry(0);
    private final UpstreamHealthProbe probe = new UpstreamHealthProbe(
            origin -> {
                final CompletableFuture<Void> connection = new CompletableFuture<>();
                connections.add(connection);
                return connection;
            },
            closed::add,
            scheduler,
            new DecisionLog("g", () -> 0, text -> {}),
            UNRESPONSIVE_MILLIS * 1_000_000);
    private UpstreamState upstream;

    @BeforeEach
    void start() {
        registry.applyEntry(new Upstream("a", "s", ORIGIN, "d", "v1", 8, false, 1, 0), 0);
        upstream = registry.find("a").orElseThrow();
        upstream.assign("", List.of(), 0, 0, 0, 0);
    }

    @Test
    void shouldNotGiveUpASilentUpstreamThatAcceptsConnections() {
        startProbe();
        connections.get(0).complete(null);
        scheduler.advance(1_000);
        assertThat(closed).isEmpty();
        assertThat(upstream.unresponsiveNanos(scheduler.nanos())).isLessThan(scheduler.nanos());
    }

    @Test
    void shouldNotGiveUpAnUpstreamAfterOneFailedConnection() {
        startProbe();
        fail(connections.get(0));
        scheduler.advance(100);
        fail(connections.get(1));
        scheduler.advance(100);
        connections.get(2).complete(null);
        assertThat(closed).isEmpty();
        assertThat(upstream.allowsRequest(scheduler.nanos())).isTrue();
    }

    @Test
    void shouldGiveUpAnUpstreamThatAcceptsNoConnection() {
        startProbe();
        scheduler.advance(300);
        connections.forEach(UpstreamHealthProbeTest::fail);
        assertThat(closed).containsExactly(ORIGIN);
        assertThat(upstream.allowsRequest(scheduler.nanos())).isFalse();
    }

    @Test
    void shouldNotGiveUpAnUpstreamThatSendsWhileItIsProbed() {
        startProbe();
        scheduler.advance(300);
        upstream.recordActivity(scheduler.nanos());
        connections.forEach(UpstreamHealthProbeTest::fail);
        assertThat(closed).isEmpty();
    }

    /** Guards against attempts that are kept for ever with their bodies since their upstream was removed. */
    @Test
    void shouldForgetAttemptsThatEndedAtARemovedUpstream() {
        final List<Attempt> attempts =
                Stream.generate(this::startAttempt).limit(3).toList();
        attempts.forEach(probe::track);
        assertThat(probe.trackedAttempts()).isEqualTo(3);
        registry.applyRemoval("a", 0);
        attempts.forEach(Attempt::cancel);
        assertThat(probe.trackedAttempts()).isEqualTo(0);
    }

    private Attempt startAttempt() {
        return new Attempt(
                upstream,
                upstream.assign("", List.of(), 0, 0, 0, 0),
                0,
                0,
                true,
                scheduler.nanos(),
                new Attempt.Listener() {
                    @Override
                    public boolean mayBeSent(Attempt attempt) {
                        return true;
                    }

                    @Override
                    public void onResponseHead(Attempt attempt) {}

                    @Override
                    public void onResponseBytes(Attempt attempt, byte[] bytes) {}

                    @Override
                    public void onResponseComplete(Attempt attempt) {}

                    @Override
                    public void onAttemptFailed(Attempt attempt, HttpRequestException error) {}
                });
    }

    private void startProbe() {
        probe.probeIfUnresponsive(upstream);
        assertThat(connections).isEmpty();
        scheduler.advance(UNRESPONSIVE_MILLIS);
        probe.probeIfUnresponsive(upstream);
        scheduler.advance(0);
        assertThat(connections).hasSize(1);
    }

    private static void fail(CompletableFuture<Void> connection) {
        connection.completeExceptionally(new IllegalStateException("no connection"));
    }
}
