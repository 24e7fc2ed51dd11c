package org.masticpaddle.wire;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.api.Test;
import org.masticpaddle.standin.Conditions;

import static com.google.common.truth.Truth.assertThat;

/** Guards against processing that continues for a caller that disconnects before the first byte of its response. */
class DisconnectDetectorTest {
    private static final String REQUEST = "POST /x HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\nhi";

    @Test
    void shouldDetectAPeerThatDisconnectsBeforeTheResponse() throws Exception {
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final CompletableFuture<Void> closed = new CompletableFuture<>();
        final HttpServer server = server(exchange -> {
            exchange.getConnection().addCloseListener(connection -> closed.complete(null));
            arrived.complete(null);
        });
        try (Socket socket = connect(server)) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            socket.close();
            closed.get(30, TimeUnit.SECONDS);
        } finally {
            server.stop();
        }
    }

    @Test
    void shouldFindADisconnectionThatTheEventLoopHasNotReported() throws Exception {
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
        final CompletableFuture<Void> left = new CompletableFuture<>();
        final HttpServer server = server(exchange -> {
            final boolean before = DisconnectDetector.hasDisconnected(exchange);
            arrived.complete(null);
            left.join();
            // Blocks the event loop, which therefore cannot report the close.
            Conditions.await(() -> DisconnectDetector.hasDisconnected(exchange));
            disconnected.complete(!before);
        });
        try (Socket socket = connect(server)) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            socket.close();
            left.complete(null);
            assertThat(disconnected.get(30, TimeUnit.SECONDS)).isTrue();
        } finally {
            server.stop();
        }
    }

    @Test
    void shouldDetectAPeerThatSendsItsNextRequestAndDisconnects() throws Exception {
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final CompletableFuture<Void> closed = new CompletableFuture<>();
        final HttpServer server = server(exchange -> {
            exchange.getConnection().addCloseListener(connection -> closed.complete(null));
            arrived.complete(null);
        });
        try (Socket socket = connect(server)) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            socket.close();
            closed.get(30, TimeUnit.SECONDS);
        } finally {
            server.stop();
        }
    }

    @Test
    void shouldFindADisconnectionAfterBytesOfTheNextRequest() throws Exception {
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final CompletableFuture<Void> found = new CompletableFuture<>();
        final CompletableFuture<Void> left = new CompletableFuture<>();
        final HttpServer server = server(exchange -> {
            arrived.complete(null);
            left.join();
            Conditions.await(() -> DisconnectDetector.hasDisconnected(exchange));
            found.complete(null);
        });
        try (Socket socket = connect(server)) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            socket.close();
            left.complete(null);
            found.get(30, TimeUnit.SECONDS);
        } finally {
            server.stop();
        }
    }

    @Test
    void shouldRespondToPipelinedRequestsThatArriveInParts() throws Exception {
        final Queue<HttpServerExchange> pendingExchanges = new ConcurrentLinkedQueue<>();
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final HttpServer server = pipeliningServer(pendingExchanges, arrived);
        try (Socket socket = connect(server)) {
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            final HttpServerExchange first = pendingExchanges.remove();
            for (final byte next : REQUEST.getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(next);
                final CompletableFuture<Boolean> read = new CompletableFuture<>();
                first.getIoThread().execute(() -> read.complete(DisconnectDetector.hasDisconnected(first)));
                assertThat(read.get(30, TimeUnit.SECONDS)).isFalse();
            }
            first.getIoThread().execute(() -> Exchanges.respond(first, 200, "first"));
            assertBothResponses(socket);
        } finally {
            server.stop();
        }
    }

    @Test
    void shouldRespondToPipelinedRequests() throws Exception {
        final Queue<HttpServerExchange> pendingExchanges = new ConcurrentLinkedQueue<>();
        final CompletableFuture<Void> arrived = new CompletableFuture<>();
        final HttpServer server = pipeliningServer(pendingExchanges, arrived);
        try (Socket socket = connect(server)) {
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            arrived.get(30, TimeUnit.SECONDS);
            socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            final HttpServerExchange first = pendingExchanges.remove();
            first.getIoThread().execute(() -> Exchanges.respond(first, 200, "first"));
            assertBothResponses(socket);
        } finally {
            server.stop();
        }
    }

    /** Starts a server that keeps the first exchange and responds to the others. */
    private static HttpServer pipeliningServer(
            Queue<HttpServerExchange> pendingExchanges, CompletableFuture<Void> arrived) {
        return server(exchange -> {
            if (arrived.isDone()) {
                Exchanges.respond(exchange, 200, "second");
            } else {
                pendingExchanges.add(exchange);
                arrived.complete(null);
            }
        });
    }

    private static void assertBothResponses(Socket socket) throws IOException {
        final StringBuilder responses = new StringBuilder();
        socket.setSoTimeout(30_000);
        while (!responses.toString().contains("second")) {
            final int next = socket.getInputStream().read();
            assertThat(next).isAtLeast(0);
            responses.append((char) next);
        }
        assertThat(responses.indexOf("first")).isAtLeast(0);
    }

    private static HttpServer server(java.util.function.Consumer<HttpServerExchange> handler) {
        final HttpServer server = new HttpServer(
                "127.0.0.1",
                0,
                1,
                1_000,
                exchange -> exchange.getRequestReceiver()
                        .receiveFullBytes((ignored, body) -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                            DisconnectDetector.start(exchange);
                            handler.accept(exchange);
                        })));
        server.start();
        return server;
    }

    private static Socket connect(HttpServer server) throws IOException {
        return new Socket("127.0.0.1", server.port());
    }
}
