package org.masticpaddle.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Peer that answers one request with given bytes and ends its output. Used by one thread. */
final class AnsweringPeer {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client;
    private final ServerSocket server;

    AnsweringPeer(HttpClient client, ServerSocket server) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.server = Objects.requireNonNull(server, "server is null");
    }

    /** How the bytes of an answer are written. */
    enum Writing {
        /** All at once. */
        WHOLE {
            @Override
            void write(OutputStream output, byte[] answer) throws IOException {
                output.write(answer);
            }
        },
        /** Each byte by itself, so that it is mostly read by itself. */
        BYTE_BY_BYTE {
            @Override
            void write(OutputStream output, byte[] answer) throws IOException {
                for (final byte next : answer) {
                    output.write(next);
                }
            }
        };

        abstract void write(OutputStream output, byte[] answer) throws IOException;
    }

    /**
     * Sends a request and answers it.
     *
     * @param method method of the request
     * @param answer bytes of the answer, each as the character of that number
     * @return the response that the client took from the answer
     * @throws ExecutionException if the client found none
     */
    HttpResponse exchange(String method, String answer, Writing writing) throws Exception {
        final Thread peer = new Thread(() -> answer(answer.getBytes(StandardCharsets.ISO_8859_1), writing));
        peer.setDaemon(true);
        peer.start();
        final CompletableFuture<HttpResponse> response = client.send(new HttpRequest(
                URI.create("http://127.0.0.1:" + server.getLocalPort()),
                method,
                "/",
                Map.of(),
                new byte[0],
                TIMEOUT,
                true));
        try {
            return response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } finally {
            peer.join(TIMEOUT.toMillis());
        }
    }

    private void answer(byte[] answer, Writing writing) {
        try (Socket socket = server.accept()) {
            socket.setTcpNoDelay(true);
            readHead(socket);
            try {
                writing.write(socket.getOutputStream(), answer);
                socket.shutdownOutput();
            } catch (IOException e) {
                // The client has closed the connection after a part of the answer.
                return;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void readHead(Socket socket) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended inside the head of the request");
            }
            head.append((char) next);
        }
    }
}
