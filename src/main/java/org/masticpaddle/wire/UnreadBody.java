package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.Methods;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Discards the rest of a request body after a response that did not wait for it, so that the peer reads the response before its
 * connection is closed. Undertow would discard it too, but without a turn for other connections and without a limit of time.
 *
 * <p>Invariants: a turn reads a bounded number of bytes; the connection is closed when the body ends or the time is over. Used on
 * the I/O thread of the exchange only.
 */
public final class UnreadBody implements IoCallback {
    /** Time after which the connection is closed although the peer still sends. */
    private static final long LINGER_MILLIS = 2_000;
    /** Reads after which other connections of the I/O thread get their turn. */
    private static final int MAX_READS_PER_TURN = 16;

    private StreamSourceChannel channel;

    /**
     * Sends a whole response and closes the connection.
     *
     * @param exchange exchange whose body may not have been read completely; its status and headers are set
     * @param body body of the response
     */
    public static void respond(HttpServerExchange exchange, byte[] body) {
        if (exchange.isRequestComplete() || body.length == 0 || Methods.HEAD.equals(exchange.getRequestMethod())) {
            // Without a body to send, only the end of the exchange sends the head.
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        } else {
            exchange.setPersistent(false);
            exchange.getResponseSender().send(ByteBuffer.wrap(body), new UnreadBody());
        }
    }

    private UnreadBody() {}

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        final XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((completed, next) -> {
            timer.remove();
            next.proceed();
        });
        CloseListeners.add(exchange, timer::remove);
        // A read would ask a peer for the body that waits for a permission to send it.
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            channel = requestChannel(exchange);
            channel.getReadSetter().set(ignored -> discard(exchange));
            discard(exchange);
        }
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private static StreamSourceChannel requestChannel(HttpServerExchange exchange) {
        if (!exchange.isRequestChannelAvailable()) {
            Connectors.resetRequestChannel(exchange);
        }
        return exchange.getRequestChannel();
    }

    private void discard(HttpServerExchange exchange) {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            final ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < MAX_READS_PER_TURN; reads++) {
                buffer.clear();
                final int count = channel.read(buffer);
                if (count < 0) {
                    exchange.endExchange();
                    return;
                }
                if (count == 0) {
                    break;
                }
            }
            channel.resumeReads();
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
