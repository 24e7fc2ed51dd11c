package org.masticpaddle.standin;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.HttpResponse;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a proxy that injects another fault than the test asked for. */
class FaultProxyTest {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofMillis(200);

    private final HttpClient client = new HttpClient(1);
    private final PlainServiceStandIn service = new PlainServiceStandIn(Duration.ZERO);
    private FaultProxy proxy;

    @BeforeEach
    void start() {
        client.start();
        service.start();
        proxy = new FaultProxy(service.origin());
        proxy.start();
    }

    @AfterEach
    void stop() {
        proxy.stop();
        service.stop();
        client.stop();
    }

    @Test
    void shouldForwardBothWays() {
        assertThat(get(LONG).join().status()).isEqualTo(200);
        final String large = "x".repeat(3_000_000);
        final HttpRequest call = HttpRequest.post(proxy.origin(), "/bookings", large, LONG);
        assertThat(client.send(call).join().status()).isEqualTo(201);
    }

    @Test
    void shouldSilenceOpenConnectionsOnly() {
        assertThat(get(LONG).join().status()).isEqualTo(200);
        proxy.stallOpenConnections(FaultProxy.Direction.TO_CLIENT);
        assertThat(delivery(get(SHORT))).isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        Conditions.await(() -> service.lookupCount() == 2);
        assertThat(get(LONG).join().status()).isEqualTo(200);
        assertThat(proxy.acceptedConnections()).isEqualTo(2);
    }

    @Test
    void shouldRefuseNewConnectionsUntilHealed() {
        proxy.refuseConnections(true);
        assertThat(delivery(get(LONG))).isEqualTo(HttpRequestException.Delivery.NOT_SENT);
        proxy.clearFaults();
        assertThat(get(LONG).join().status()).isEqualTo(200);
    }

    @Test
    void shouldResetOpenConnections() {
        // The answer is held back, and the look-up shows that the request was sent: a connection that is cut before
        // that
        // fails as not sent.
        proxy.delay(FaultProxy.Direction.TO_CLIENT, 10_000);
        final CompletableFuture<HttpResponse> hanging = get(LONG);
        Conditions.await(() -> service.lookupCount() == 1);
        proxy.resetConnections();
        assertThat(delivery(hanging)).isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
    }

    @Test
    void shouldDropAllWhileBlackholedAndDelayWhenAsked() {
        proxy.blackhole(true);
        assertThat(delivery(get(SHORT))).isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        assertThat(service.lookupCount()).isEqualTo(0);
        proxy.clearFaults();
        proxy.delay(FaultProxy.Direction.TO_TARGET, 600);
        assertThat(delivery(get(SHORT))).isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        assertThat(get(LONG).join().status()).isEqualTo(200);
    }

    private CompletableFuture<HttpResponse> get(Duration timeout) {
        return client.send(HttpRequest.get(proxy.origin(), "/availability?day=monday", timeout));
    }

    private static HttpRequestException.Delivery delivery(CompletableFuture<HttpResponse> call) {
        final CompletionException error = assertThrows(CompletionException.class, call::join);
        return ((HttpRequestException) error.getCause()).delivery();
    }
}
