package org.masticpaddle.membership;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.undertow.server.HttpServerExchange;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;
import org.masticpaddle.wire.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a view that stays stale although the instance list or the probes respond, and against probes above
 * their limit of bytes per second.
 */
class MembershipServiceTest {
    private final HttpClient client = new HttpClient(1);
    private final HttpServer sidecar = new HttpServer("127.0.0.1", 0, 1, 1024, this::status);
    private final AtomicInteger probes = new AtomicInteger();
    private volatile LoadReport report = new LoadReport(5, false, true, 1, 0, 8, List.of("m/v"), 10);
    private volatile InstanceChanges changes;
    private volatile boolean listFails;
    private MembershipService service;

    @BeforeEach
    void start() {
        client.start();
        sidecar.start();
        changes = new InstanceChanges(1, true, List.of(instance("a", Instance.State.LIVE)));
        service = service(8000);
        service.start();
    }

    @AfterEach
    void stop() {
        service.stop();
        client.stop();
        sidecar.stop();
    }

    @Test
    void shouldAcceptRequestsForAProbedMemberUntilItDrains() {
        Conditions.await(() -> service.snapshot().accepting("llm").size() == 1);
        assertThat(service.snapshot()
                        .find("a")
                        .orElseThrow()
                        .load()
                        .orElseThrow()
                        .versions())
                .containsExactly("m/v");
        report = new LoadReport(5, true, true, 1, 0, 8, List.of(), 10);
        Conditions.await(() -> service.snapshot().subsets().get("llm").isEmpty());
    }

    @Test
    void shouldPublishARejectionAndRecoverWithTheNextReport() {
        Conditions.await(() -> service.snapshot().accepting("llm").size() == 1);
        final CompletableFuture<MembershipSnapshot> rejected = new CompletableFuture<>();
        service.subscribe(next -> {
            if (next.accepting("llm").isEmpty()) {
                rejected.complete(next);
            }
        });
        service.observe("a", new Observation.Rejected(5));
        assertThat(rejected.join().find("a").orElseThrow().rejecting()).isTrue();
        Conditions.await(() -> service.snapshot().accepting("llm").size() == 1);
    }

    @Test
    void shouldKeepTheViewDuringAListOutageAndCatchUpAfterwards() {
        Conditions.await(() -> service.snapshot().accepting("llm").size() == 1);
        listFails = true;
        Conditions.await(() -> service.counters().pollFailures() >= 2);
        assertThat(service.snapshot().accepting("llm")).hasSize(1);
        changes = new InstanceChanges(2, false, List.of(instance("a", Instance.State.LEAVING)));
        listFails = false;
        Conditions.await(() -> service.snapshot().accepting("llm").isEmpty());
    }

    @Test
    void shouldLimitTheBytesOfProbes() {
        service.stop();
        changes = new InstanceChanges(
                1,
                true,
                IntStream.range(0, 200)
                        .mapToObj(index -> instance("i" + index, Instance.State.LIVE))
                        .toList());
        final int bytesPerSecond = 4000;
        service = service(bytesPerSecond);
        final long startNanos = System.nanoTime();
        service.start();
        Conditions.await(() -> service.counters().probes() >= 16);
        final double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        // The token bucket starts with the bytes of one second.
        assertThat((double) service.counters().probeBytes()).isAtMost(bytesPerSecond * (seconds + 1));
        assertThat(probes.get()).isGreaterThan(0);
    }

    private MembershipService service(int probeBytesPerSecond) {
        final MembershipSettings settings =
                new MembershipSettings("e", "r", List.of("llm"), 64, 40, 60, 5000, 30_000, probeBytesPerSecond);
        return new MembershipService(
                settings,
                after -> listFails
                        ? CompletableFuture.failedFuture(new IllegalStateException("list is down"))
                        : CompletableFuture.completedFuture(changes),
                client,
                RandomSource.SPLIT_MIX_64.create(7),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private void status(HttpServerExchange exchange) {
        probes.incrementAndGet();
        Exchanges.respond(exchange, 200, report);
    }

    private Instance instance(String id, Instance.State state) {
        return new Instance(id, "llm", "r", "d", URI.create("http://127.0.0.1:" + sidecar.port()), state);
    }
}
