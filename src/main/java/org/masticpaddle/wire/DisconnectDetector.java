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
 * Notices a peer that closes its connection while its answer is prepared. The server itself reads a connection again only
 * after the answer, so that without this the loss of the peer shows at the first write at the earliest.
 */
public final class DisconnectDetector {
    private static final byte[] INTERIM = "HTTP/1.1 102 Processing\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long PROBE_MILLIS = 200;

    private DisconnectDetector() {}

    /** What the end of a peer's sending side means. */
    public enum HalfClosePolicy {
        /** The peer may still read, which interim responses find out. */
        PROBE {
            @Override
            void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection) {
                probe(exchange, connection);
            }
        },
        /** The peer has left. */
        CLOSE {
            @Override
            void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection) {
                IoUtils.safeClose(connection);
            }
        };

        abstract void onHalfClose(HttpServerExchange exchange, HttpServerConnection connection);
    }

    /**
     * Closes the connection, which runs its close listeners, once the peer has left. A peer that only closed its sending
     * side still gets its answer. A peer that sends the next
     * request early is watched no longer.
     *
     * @param exchange exchange whose request has been read whole
     */
    public static void start(HttpServerExchange exchange) {
        start(exchange, HalfClosePolicy.PROBE);
    }

    /**
     * Closes the connection, which runs its close listeners, once the peer has left. A peer that sends the next request
     * early is watched no longer.
     *
     * @param exchange exchange whose request has been read whole
     * @param halfClose what the end of the peer's sending side means
     */
    public static void start(HttpServerExchange exchange, HalfClosePolicy halfClose) {
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            exchange.getIoThread().execute(() -> {
                if (!exchange.isComplete()) {
                    watch(exchange, connection, halfClose);
                }
            });
        }
    }

    private static void watch(HttpServerExchange exchange, HttpServerConnection connection, HalfClosePolicy halfClose) {
        final StreamSourceConduit source = connection.getOriginalSourceConduit();
        final ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        channel.setReadListener(ignored -> {
            if (exchange.isComplete()) {
                return;
            }
            final PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            boolean kept = false;
            try {
                final ByteBuffer buffer = pooled.getBuffer();
                final int count = source.read(buffer);
                if (count < 0) {
                    source.suspendReads();
                    halfClose.onHalfClose(exchange, connection);
                } else if (count > 0) {
                    source.suspendReads();
                    buffer.flip();
                    connection.ungetRequestBytes(pooled);
                    kept = true;
                }
            } catch (IOException e) {
                IoUtils.safeClose(connection);
            } finally {
                if (!kept) {
                    pooled.close();
                }
            }
        });
        source.resumeReads();
    }

    /**
     * Finds out whether the peer has left or only closed its sending side: a peer that has left answers an interim
     * response with a reset, which the next write reports. One that still reads skips interim responses.
     */
    private static void probe(HttpServerExchange exchange, HttpServerConnection connection) {
        if (exchange.isComplete() || exchange.isResponseStarted() || !exchange.isHttp11()) {
            return;
        }
        try {
            connection.getOriginalSinkConduit().write(ByteBuffer.wrap(INTERIM));
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        exchange.getIoThread().executeAfter(() -> probe(exchange, connection), PROBE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
