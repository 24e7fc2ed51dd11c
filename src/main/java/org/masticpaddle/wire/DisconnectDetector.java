package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a peer closes its connection before its response is complete.
 *
 * <p>Undertow reads a connection again only after the response, so without this class the first sign of a lost peer is
 * a failed write. Stateless and thread-safe.
 */
public final class DisconnectDetector {
    private static final byte[] INTERIM_RESPONSE =
            "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long PROBE_INTERVAL_MILLIS = 200;

    private DisconnectDetector() {}

    /** What to do when a peer closes its sending side. */
    public enum HalfClosePolicy {
        /** The peer may still read the response; interim responses show whether it does. */
        PROBE {
            @Override
            void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection) {
                probe(exchange, connection);
            }
        },
        /** The peer is treated as disconnected; its connection is closed. */
        CLOSE {
            @Override
            void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection) {
                IoUtils.safeClose(connection);
            }
        };

        abstract void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection);
    }

    /**
     * Closes the connection, which runs its close listeners, when the peer disconnects. A peer that only closes its
     * sending side still gets its response. Detection stops when the peer has sent more of its next requests than a buffer holds.
     *
     * @param exchange exchange whose request has been read completely
     */
    public static void start(HttpServerExchange exchange) {
        start(exchange, HalfClosePolicy.PROBE);
    }

    /**
     * Closes the connection, which runs its close listeners, when the peer disconnects. Detection stops when the peer
     * has sent more of its next requests than a buffer holds.
     *
     * @param exchange exchange whose request has been read completely
     * @param policy what to do when the peer closes its sending side
     */
    public static void start(HttpServerExchange exchange, HalfClosePolicy policy) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            exchange.getIoThread().execute(() -> {
                if (!exchange.isComplete()) {
                    watch(exchange, connection, policy);
                }
            });
        }
    }

    /**
     * Returns whether the peer has closed its sending side or the whole connection. Reads what the operating system has
     * received, so that a close is found before the event loop reports it; bytes of a next request are kept for it.
     *
     * @param exchange exchange whose request has been read completely; the caller runs on its I/O thread
     * @return {@code true} if the peer does not wait for the response any more
     */
    public static boolean hasDisconnected(HttpServerExchange exchange) {
        if (!exchange.getConnection().isOpen()) {
            return true;
        }
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            final Input input = read(connection);
            return input == Input.END || input == Input.RESET;
        }
        return false;
    }

    private static void watch(HttpServerExchange exchange, HttpServerConnection connection, HalfClosePolicy policy) {
        final StreamSourceConduit source = connection.getOriginalSourceConduit();
        final ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        channel.setReadListener(ignored -> {
            if (exchange.isComplete()) {
                source.suspendReads();
                return;
            }
            switch (read(connection)) {
                case END -> {
                    source.suspendReads();
                    policy.onHalfClose(exchange, connection);
                }
                case BUFFER_FULL -> source.suspendReads();
                case RESET -> IoUtils.safeClose(connection);
                default -> {}
            }
        });
        source.resumeReads();
    }

    /** Reads the connection without blocking; bytes of a next request are kept for it. */
    private static Input read(HttpServerConnection connection) {
        try {
            final PooledByteBuffer kept = connection.getExtraBytes();
            final int count = kept == null ? readFirst(connection) : readMore(connection, kept.getBuffer());
            if (count < 0) {
                return Input.END;
            }
            final PooledByteBuffer extra = connection.getExtraBytes();
            return extra != null
                            && extra.getBuffer().limit() == extra.getBuffer().capacity()
                    ? Input.BUFFER_FULL
                    : Input.NOTHING;
        } catch (IOException e) {
            return Input.RESET;
        }
    }

    private static int readFirst(HttpServerConnection connection) throws IOException {
        final PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean pushedBack = false;
        try {
            final ByteBuffer buffer = pooled.getBuffer();
            final int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                pushedBack = true;
            }
            return count;
        } finally {
            if (!pushedBack) {
                pooled.close();
            }
        }
    }

    /** Reads behind the bytes that are kept; reads nothing if they fill their buffer. */
    private static int readMore(HttpServerConnection connection, ByteBuffer kept) throws IOException {
        final int start = kept.position();
        final int end = kept.limit();
        kept.limit(kept.capacity()).position(end);
        try {
            return kept.hasRemaining() ? connection.getOriginalSourceConduit().read(kept) : 0;
        } finally {
            kept.limit(kept.position()).position(start);
        }
    }

    /** What was read of a connection whose request is being processed. */
    private enum Input {
        /** The peer has sent nothing, or bytes of its next requests that are kept. */
        NOTHING,
        /** The peer has sent as many bytes of its next requests as are kept. */
        BUFFER_FULL,
        /** The peer has closed its sending side. */
        END,
        /** The connection is broken. */
        RESET
    }

    /**
     * Tests whether the peer has disconnected or only closed its sending side, by interim responses at regular
     * intervals. A disconnected peer responds with a reset, which the next write reports; one that still reads skips
     * them.
     */
    private static void probe(HttpServerExchange exchange, HttpServerConnection connection) {
        if (exchange.isComplete() || exchange.isResponseStarted() || !exchange.isHttp11()) {
            return;
        }
        try {
            connection.getOriginalSinkConduit().write(ByteBuffer.wrap(INTERIM_RESPONSE));
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        exchange.getIoThread()
                .executeAfter(() -> probe(exchange, connection), PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
