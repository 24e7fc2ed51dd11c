package org.masticpaddle.standin;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes an answer to the connection while the answer is still being generated.
 *
 * <p>Runs on the exchange's I/O thread; {@link #writeMore()} and {@link #closeAfterCurrentLength()} may be called from any
 * thread.
 */
final class AnswerWriter {
    private static final int CHUNK_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final AnswerBuffer buffer;
    private int position;
    private int closeAtPosition = Integer.MAX_VALUE;
    private ByteBuffer chunk = ByteBuffer.allocate(0);
    private StreamSinkChannel channel;
    private boolean closed;

    AnswerWriter(HttpServerExchange exchange, AnswerBuffer buffer, int from) {
        this.exchange = exchange;
        this.buffer = buffer;
        this.position = from;
    }

    void start(String contentType) {
        buffer.attach(this);
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(200);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(sink -> writeAvailable());
            writeAvailable();
        });
    }

    void writeMore() {
        exchange.getIoThread().execute(this::writeAvailable);
    }

    void closeAfterCurrentLength() {
        final int length = buffer.length();
        exchange.getIoThread().execute(() -> {
            closeAtPosition = length;
            writeAvailable();
        });
    }

    private void writeAvailable() {
        try {
            while (!closed && fillChunk()) {
                if (channel.write(chunk) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            if (!closed) {
                flushChannel();
            }
        } catch (IOException e) {
            close();
        }
    }

    private boolean fillChunk() {
        if (!chunk.hasRemaining()) {
            final byte[] bytes = buffer.copy(position, Math.min(CHUNK_BYTES, Math.max(0, closeAtPosition - position)));
            position += bytes.length;
            chunk = ByteBuffer.wrap(bytes);
        }
        return chunk.hasRemaining();
    }

    private void flushChannel() throws IOException {
        final boolean complete = buffer.isFullyRead(position);
        if (complete) {
            channel.shutdownWrites();
        }
        if (!channel.flush()) {
            channel.resumeWrites();
            return;
        }
        if (complete) {
            closed = true;
            buffer.detach(this);
        } else if (position >= closeAtPosition) {
            close();
        } else {
            channel.suspendWrites();
        }
    }

    private void close() {
        closed = true;
        buffer.detach(this);
        IoUtils.safeClose(exchange.getConnection());
    }
}
