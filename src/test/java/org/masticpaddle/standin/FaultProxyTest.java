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

/** Guards against a proxy whose commands affect other connections or directions than documented. */
class FaultProxyTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

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
    void shouldForwardBothDirections() {
        assertThat(getAvailability(LONG_TIMEOUT).join().status()).isEqualTo(200);
        final String large = "x".repeat(3_000_000);
        final HttpRequest request = HttpRequest.post(proxy.origin(), "/bookings", large, LONG_TIMEOUT);
        assertThat(client.send(request).join().status()).isEqualTo(201);
    }

    @Test
    void shouldStallOpenConnectionsOnly() {
        assertThat(getAvailability(LONG_TIMEOUT).join().status()).isEqualTo(200);
        proxy.stallOpenConnections(FaultProxy.Direction.TO_CLIENT);
        assertThat(deliveryOfFailure(getAvailability(SHORT_TIMEOUT)))
                .isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        Conditions.await(() -> service.lookupCount() == 2);
        assertThat(getAvailability(LONG_TIMEOUT).join().status()).isEqualTo(200);
        assertThat(proxy.acceptedConnections()).isEqualTo(2);
    }

    @Test
    void shouldRefuseNewConnectionsUntilFaultsAreCleared() {
        proxy.refuseConnections(true);
        assertThat(deliveryOfFailure(getAvailability(LONG_TIMEOUT))).isEqualTo(HttpRequestException.Delivery.NOT_SENT);
        proxy.clearFaults();
        assertThat(getAvailability(LONG_TIMEOUT).join().status()).isEqualTo(200);
    }

    @Test
    void shouldResetOpenConnections() {
        // The response is delayed, and the lookup count shows that the request reached the service: a connection that
        // is
        // reset earlier would fail as not sent.
        proxy.delay(FaultProxy.Direction.TO_CLIENT, 10_000);
        final CompletableFuture<HttpResponse> pendingResponse = getAvailability(LONG_TIMEOUT);
        Conditions.await(() -> service.lookupCount() == 1);
        proxy.resetConnections();
        assertThat(deliveryOfFailure(pendingResponse)).isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
    }

    @Test
    void shouldDropAllBytesWhileBlackholedAndDelayBytesWhenRequested() {
        proxy.blackhole(true);
        assertThat(deliveryOfFailure(getAvailability(SHORT_TIMEOUT)))
                .isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        assertThat(service.lookupCount()).isEqualTo(0);
        proxy.clearFaults();
        proxy.delay(FaultProxy.Direction.TO_TARGET, 600);
        assertThat(deliveryOfFailure(getAvailability(SHORT_TIMEOUT)))
                .isEqualTo(HttpRequestException.Delivery.POSSIBLY_SENT);
        assertThat(getAvailability(LONG_TIMEOUT).join().status()).isEqualTo(200);
    }

    private CompletableFuture<HttpResponse> getAvailability(Duration timeout) {
        return client.send(HttpRequest.get(proxy.origin(), "/availability?day=monday", timeout));
    }

    private static HttpRequestException.Delivery deliveryOfFailure(CompletableFuture<HttpResponse> response) {
        final CompletionException error = assertThrows(CompletionException.class, response::join);
        return ((HttpRequestException) error.getCause()).delivery();
    }
}
