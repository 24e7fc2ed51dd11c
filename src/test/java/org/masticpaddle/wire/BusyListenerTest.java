package org.masticpaddle.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/** Guards against callers that connect again at once and keep timers and open connections waiting. */
@Timeout(120)
class BusyListenerTest {
    private static final int CONNECTIONS = 400;
    private static final int CALLERS = 16;
    /** A turn of the loop serves each open connection once; a timer or request becomes due in one turn and is served in the next. */
    private static final int MAX_HANDLED = 2 * CALLERS;

    private final EventLoop loop = new EventLoop("busy");
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger handled = new AtomicInteger();
    private final CountDownLatch busy = new CountDownLatch(1);
    private final Semaphore opened = new Semaphore(0);
    private final CompletableFuture<Integer> handledBeforeTimer = new CompletableFuture<>();
    private final CompletableFuture<Integer> handledBeforeOpenConnection = new CompletableFuture<>();
    private final HttpServer server = new HttpServer("127.0.0.1", 0, loop, 1_000, this::handle);

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        loop.stop();
    }

    @Test
    void shouldServeTimersAndOpenConnectionsBesideConnectionsThatFollowEachOther() throws Exception {
        try (Socket open = connect("/first")) {
            readHead(open.getInputStream());
            final List<CompletableFuture<Void>> callers = Stream.generate(() -> new CompletableFuture<Void>())
                    .limit(CALLERS)
                    .toList();
            callers.forEach(caller -> new Thread(() -> call(caller)).start());
            busy.await();
            write(open, "/open");
            opened.release();
            for (final CompletableFuture<Void> caller : callers) {
                caller.get();
            }
            assertThat(handledBeforeTimer.get()).isAtMost(MAX_HANDLED);
            assertThat(handledBeforeOpenConnection.get()).isAtMost(MAX_HANDLED);
        }
    }

    /** Sends requests on new connections without a pause, until all callers together have sent enough. */
    private void call(CompletableFuture<Void> ended) {
        try {
            while (sent.getAndIncrement() < CONNECTIONS) {
                try (Socket socket = connect("/next")) {
                    opened.release();
                    readHead(socket.getInputStream());
                }
            }
            ended.complete(null);
        } catch (IOException e) {
            ended.completeExceptionally(e);
        } finally {
            // No further connection comes from this caller.
            opened.release(CONNECTIONS);
        }
    }

    /** Responds only after all other callers have opened their next connections. */
    private void handle(HttpServerExchange exchange) throws InterruptedException {
        if (exchange.getRequestPath().equals("/next")) {
            if (handled.get() == 0) {
                loop.schedule(1, () -> handledBeforeTimer.complete(handled.get()));
                busy.countDown();
                // One of them stands for the request on the open connection.
                opened.acquire(CALLERS);
            } else {
                opened.acquire();
            }
            handled.incrementAndGet();
            exchange.setPersistent(false);
        } else if (exchange.getRequestPath().equals("/open")) {
            handledBeforeOpenConnection.complete(handled.get());
        }
        Exchanges.respond(exchange, 200, "");
    }

    private Socket connect(String path) throws IOException {
        final Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout((int) Duration.ofSeconds(30).toMillis());
        write(socket, path);
        return socket;
    }

    private static void write(Socket socket, String path) throws IOException {
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static void readHead(InputStream input) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + head);
            }
            head.append((char) next);
        }
    }
}
