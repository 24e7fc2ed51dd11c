package org.masticpaddle.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.standin.FaultProxy.Direction;

/** One direction of one connection through the proxy. Owned by the proxy's thread. */
final class ProxyPipe {
    private static final int READ_BYTES = 16 * 1024;
    private static final int MAX_CHUNKS = 64;

    private final SocketChannel source;
    private final SocketChannel sink;
    private final Direction direction;
    private final ProxyFaults rules;
    private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private boolean silent;
    private boolean sourceEnded;
    private boolean sinkEnded;
    private boolean blocked;

    ProxyPipe(SocketChannel source, SocketChannel sink, Direction direction, ProxyFaults rules) {
        this.source = source;
        this.sink = sink;
        this.direction = direction;
        this.rules = rules;
    }

    void pump() throws IOException {
        read();
        write();
    }

    private void read() throws IOException {
        while (!sourceEnded && chunks.size() < MAX_CHUNKS) {
            buffer.clear();
            final int count = source.read(buffer);
            if (count == 0) {
                return;
            }
            if (count < 0) {
                sourceEnded = true;
                return;
            }
            if (!silent && !rules.blackhole()) {
                final byte[] bytes = new byte[count];
                buffer.flip().get(bytes);
                chunks.add(new Chunk(ByteBuffer.wrap(bytes), System.nanoTime() + rules.delayNanos(direction)));
            }
        }
    }

    private void write() throws IOException {
        while (due()) {
            final ByteBuffer bytes = chunks.peekFirst().bytes;
            sink.write(bytes);
            blocked = bytes.hasRemaining();
            if (blocked) {
                return;
            }
            chunks.removeFirst();
        }
        // A silent connection also hides its end.
        if (sourceEnded && chunks.isEmpty() && !sinkEnded && !silent && !rules.blackhole()) {
            sinkEnded = true;
            sink.shutdownOutput();
        }
    }

    private boolean due() {
        return !chunks.isEmpty() && chunks.peekFirst().dueNanos - System.nanoTime() <= 0;
    }

    int readInterest() {
        return sourceEnded || chunks.size() >= MAX_CHUNKS ? 0 : SelectionKey.OP_READ;
    }

    int writeInterest() {
        return due() ? SelectionKey.OP_WRITE : 0;
    }

    long waitMillis() {
        if (chunks.isEmpty() || blocked) {
            return Long.MAX_VALUE;
        }
        return TimeUnit.NANOSECONDS.toMillis(chunks.peekFirst().dueNanos - System.nanoTime()) + 1;
    }

    void silence() {
        silent = true;
        blocked = false;
        chunks.clear();
    }

    boolean ended() {
        return sourceEnded && chunks.isEmpty();
    }

    private record Chunk(ByteBuffer bytes, long dueNanos) {}
}
