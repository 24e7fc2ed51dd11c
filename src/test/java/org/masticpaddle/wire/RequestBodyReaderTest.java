package org.masticpaddle.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticpaddle.memory.RequestMemory;
import org.masticpaddle.standin.Conditions;

import static com.google.common.truth.Truth.assertThat;

/** Guards against bodies that are read without memory, bodies that never end, and memory that is not given back. */
@Timeout(60)
class RequestBodyReaderTest {
    private static final int CAPACITY = 4 * 1024 * 1024;
    private static final int LARGE = 3 * 1024 * 1024;
    private static final int MAX_BYTES = 3_500_000;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final EventLoop loop = new EventLoop("test");
    private final RequestMemory memory = new RequestMemory(CAPACITY);
    private final List<RequestBody> kept = new CopyOnWriteArrayList<>();
    private final AtomicInteger broken = new AtomicInteger();
    private volatile RequestBodyReader.Limits limits =
            new RequestBodyReader.Limits(MAX_BYTES, READ_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
    private HttpServer server;

    @BeforeEach
    void start() {
        loop.start();
        server = new HttpServer("127.0.0.1", 0, loop, CAPACITY, new HttpContinueReadHandler(this::read));
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        loop.stop();
    }

    private void read(HttpServerExchange exchange) {
        RequestBodyReader.start(exchange, memory, "north", loop, limits, new RequestBodyReader.Listener() {
            @Override
            public void onBody(RequestBody body) {
                if (exchange.getRequestPath().equals("/broken")) {
                    broken.incrementAndGet();
                    throw new IllegalStateException("broken");
                } else if (exchange.getRequestPath().equals("/keep")) {
                    kept.add(body);
                } else {
                    Exchanges.respond(exchange, 200, "text/plain", checksum(body.bytes()));
                }
            }

            @Override
            public void onRejected(RequestBodyReader.Rejection rejection) {
                exchange.setStatusCode(rejection.status());
                UnreadBody.respond(exchange, rejection.reason().getBytes(StandardCharsets.UTF_8));
            }
        });
    }

    /** Returns the length of a body, and whether it holds the bytes of {@link #body(int)}. */
    private static byte[] checksum(byte[] bytes) {
        boolean same = true;
        for (int index = 0; index < bytes.length; index++) {
            same &= bytes[index] == (byte) (index % 251);
        }
        return (bytes.length + " " + same).getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] body(int size) {
        final byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = (byte) (index % 251);
        }
        return body;
    }

    @Test
    void shouldReadBodiesOfAnySizeOnOneConnection() throws IOException {
        try (Caller caller = new Caller()) {
            for (final int size : new int[] {0, 1, 16 * 1024, 64 * 1024 + 1, LARGE}) {
                caller.head("/", "Content-Length: " + size).send(body(size));
                assertThat(caller.response()).endsWith("\r\n\r\n" + size + " true");
                caller.head("/", "Transfer-Encoding: chunked").sendChunked(body(size), 9_999);
                assertThat(caller.response()).endsWith("\r\n\r\n" + size + " true");
            }
            awaitOnLoop(() -> memory.heldBytes() == 0);
        }
    }

    @Test
    void shouldAnswerPipelinedRequestsInOrder() throws IOException {
        try (Caller caller = new Caller()) {
            caller.head("/", "Content-Length: 3")
                    .send(body(3))
                    .head("/", "Content-Length: 5")
                    .send(body(5));
            assertThat(caller.response()).endsWith("\r\n\r\n3 true");
            assertThat(caller.response()).endsWith("\r\n\r\n5 true");
        }
    }

    @Test
    void shouldReadABodyWithoutMemoryOnlyAfterOthersAreReleased() throws Exception {
        try (Caller first = new Caller();
                Caller second = new Caller();
                Caller small = new Caller()) {
            first.head("/keep", "Content-Length: " + LARGE).send(body(LARGE));
            Conditions.await(() -> kept.size() == 1);
            second.head("/", "Expect: 100-continue\r\nContent-Length: " + LARGE);
            awaitOnLoop(() -> memory.waiting() == 1);
            small.head("/", "Content-Length: 10").send(body(10));
            assertThat(small.response()).endsWith("\r\n\r\n10 true");
            assertThat(second.input().available()).isEqualTo(0);
            loop.execute(kept.get(0)::release);
            assertThat(second.response()).startsWith("HTTP/1.1 100 Continue");
            second.send(body(LARGE));
            assertThat(second.response()).endsWith("\r\n\r\n" + LARGE + " true");
        }
    }

    @Test
    void shouldRejectABodyThatGetsNoMemoryInTime() throws IOException {
        limits = new RequestBodyReader.Limits(MAX_BYTES, 200, READ_TIMEOUT_MILLIS);
        try (Caller first = new Caller();
                Caller second = new Caller()) {
            first.head("/keep", "Content-Length: " + LARGE).send(body(LARGE));
            Conditions.await(() -> kept.size() == 1);
            second.head("/", "Content-Length: " + LARGE);
            assertThat(second.response()).startsWith("HTTP/1.1 503");
            assertThat(onLoop(memory::waiting)).isEqualTo(0);
            assertThat(memory.heldBytes()).isEqualTo(LARGE);
        }
    }

    @Test
    void shouldRejectABodyThatNeverFitsAtOnce() throws IOException {
        limits = new RequestBodyReader.Limits(2L * CAPACITY, READ_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
        try (Caller caller = new Caller()) {
            caller.head("/", "Content-Length: " + (CAPACITY + 1));
            assertThat(caller.response()).startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void shouldRejectABodyThatIsTooLarge() throws IOException {
        try (Caller stated = new Caller();
                Caller chunked = new Caller()) {
            stated.head("/", "Content-Length: " + (MAX_BYTES + 1));
            assertThat(stated.response()).startsWith("HTTP/1.1 413");
            chunked.head("/", "Transfer-Encoding: chunked").sendChunked(body(MAX_BYTES + 1), 64 * 1024);
            assertThat(chunked.response()).startsWith("HTTP/1.1 413");
            awaitOnLoop(() -> memory.heldBytes() == 0);
        }
    }

    @Test
    void shouldRejectABodyThatTricklesIn() throws IOException {
        limits = new RequestBodyReader.Limits(MAX_BYTES, 200, 200);
        try (Caller caller = new Caller()) {
            caller.head("/", "Content-Length: " + LARGE).send(body(100));
            assertThat(caller.response()).startsWith("HTTP/1.1 408");
            assertThat(memory.heldBytes()).isEqualTo(0);
        }
    }

    @Test
    void shouldReleaseTheMemoryOfCallersThatLeave() throws IOException {
        try (Caller keeping = new Caller()) {
            keeping.head("/keep", "Content-Length: 1000").send(body(1_000));
            Conditions.await(() -> kept.size() == 1);
            for (int count = 0; count < 5; count++) {
                try (Caller leaving = new Caller()) {
                    leaving.head("/", "Content-Length: " + LARGE).send(body(100));
                    awaitOnLoop(() -> memory.heldBytes() >= LARGE);
                }
            }
            awaitOnLoop(() -> memory.heldBytes() == 1_000);
        }
    }

    @Test
    void shouldPassOverCallersThatLeftWhileTheyWaited() throws IOException {
        try (Caller first = new Caller();
                Caller last = new Caller()) {
            first.head("/keep", "Content-Length: " + LARGE).send(body(LARGE));
            Conditions.await(() -> kept.size() == 1);
            try (Caller leaving = new Caller()) {
                leaving.head("/", "Content-Length: " + LARGE).send(body(100));
                awaitOnLoop(() -> memory.waiting() == 1);
            }
            last.head("/", "Content-Length: " + LARGE).send(body(100));
            awaitOnLoop(() -> memory.waiting() == 2);
            loop.execute(kept.get(0)::release);
            awaitOnLoop(() -> memory.waiting() == 0 && memory.heldBytes() == LARGE);
            last.send(tail(body(LARGE), 100));
            assertThat(last.response()).endsWith("\r\n\r\n" + LARGE + " true");
            awaitOnLoop(() -> memory.heldBytes() == 0);
        }
    }

    private static byte[] tail(byte[] bytes, int from) {
        return java.util.Arrays.copyOfRange(bytes, from, bytes.length);
    }

    @Test
    void shouldReleaseABodyWhoseHandlerFails() throws IOException {
        try (Caller caller = new Caller()) {
            caller.head("/broken", "Content-Length: " + LARGE).send(body(LARGE));
            assertThat(caller.response()).startsWith("HTTP/1.1 500");
            assertThat(broken.get()).isEqualTo(1);
            awaitOnLoop(() -> memory.heldBytes() == 0);
        }
    }

    @Test
    void shouldRunTimersWhileBodiesArriveAsFastAsTheyAreRead() throws IOException {
        final AtomicInteger bodies = new AtomicInteger();
        final CompletableFuture<Void> done = new CompletableFuture<>();
        final Thread sender = new Thread(() -> {
            try (Caller caller = new Caller()) {
                while (!done.isDone()) {
                    caller.head("/", "Content-Length: " + LARGE).send(new byte[LARGE]);
                    caller.response();
                    bodies.incrementAndGet();
                }
            } catch (IOException e) {
                done.completeExceptionally(e);
            }
        });
        sender.start();
        Conditions.await(() -> bodies.get() > 0);
        final List<Long> latenessMillis = new CopyOnWriteArrayList<>();
        measure(latenessMillis, 50);
        Conditions.await(() -> latenessMillis.size() == 50);
        done.complete(null);
        assertThat(latenessMillis.stream().sorted().toList().get(25))
                .isLessThan(Duration.ofMillis(50).toMillis());
    }

    private void measure(List<Long> latenessMillis, int remaining) {
        final long start = loop.nanos();
        loop.schedule(10, () -> {
            latenessMillis.add((loop.nanos() - start) / 1_000_000 - 10);
            if (remaining > 1) {
                measure(latenessMillis, remaining - 1);
            }
        });
    }

    private void awaitOnLoop(Supplier<Boolean> condition) {
        Conditions.await(() -> onLoop(condition));
    }

    private <T> T onLoop(Supplier<T> value) {
        final CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(value.get()));
        return result.join();
    }

    /** Connection that sends parts of requests. Not thread-safe. */
    private final class Caller implements AutoCloseable {
        private final Socket socket = new Socket("127.0.0.1", server.port());

        Caller() throws IOException {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
        }

        InputStream input() throws IOException {
            return socket.getInputStream();
        }

        Caller head(String path, String headers) throws IOException {
            return send(("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        }

        Caller send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            return this;
        }

        Caller sendChunked(byte[] bytes, int chunkBytes) throws IOException {
            for (int from = 0; from < bytes.length; from += chunkBytes) {
                final int count = Math.min(chunkBytes, bytes.length - from);
                send((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(bytes, from, count);
                send("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            return send("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }

        /** Reads one response with its body; the body of an interim response is empty. */
        String response() throws IOException {
            final StringBuilder response = new StringBuilder();
            while (response.indexOf("\r\n\r\n") < 0) {
                response.append((char) readByte());
            }
            final int length = response.indexOf("Content-Length: ");
            if (length >= 0) {
                final int end = response.indexOf("\r\n", length);
                for (int count = Integer.parseInt(response.substring(length + 16, end)); count > 0; count--) {
                    response.append((char) readByte());
                }
            }
            return response.toString();
        }

        private int readByte() throws IOException {
            final int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended inside a response");
            }
            return next;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
