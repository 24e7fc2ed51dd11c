package org.masticpaddle.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.masticpaddle.standin.FaultProxy.Direction;

/**
 * Forwards the bytes of one direction of a proxied connection through a bounded buffer. Confined to the proxy's selector
 * thread.
 */
final class ProxyPipe {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_BUFFERED_CHUNKS = 64;

    private final SocketChannel source;
    private final SocketChannel sink;
    private final Direction direction;
    private final ProxyFaults faults;
    private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private boolean stalled;
    private boolean sourceEnded;
    private boolean sinkEnded;
    private boolean writeBlocked;

    ProxyPipe(SocketChannel source, SocketChannel sink, Direction direction, ProxyFaults faults) {
        this.source = source;
        this.sink = sink;
        this.direction = direction;
        this.faults = faults;
    }

    void transfer() throws IOException {
        read();
        write();
    }

    private void read() throws IOException {
        while (!sourceEnded && chunks.size() < MAX_BUFFERED_CHUNKS) {
            buffer.clear();
            final int count = source.read(buffer);
            if (count == 0) {
                return;
            }
            if (count < 0) {
                sourceEnded = true;
                return;
            }
            if (!stalled && !faults.blackhole()) {
                final byte[] bytes = new byte[count];
                buffer.flip().get(bytes);
                chunks.add(new Chunk(ByteBuffer.wrap(bytes), System.nanoTime() + faults.delayNanos(direction)));
            }
        }
    }

    private void write() throws IOException {
        while (firstChunkDue()) {
            final ByteBuffer bytes = chunks.peekFirst().bytes;
            sink.write(bytes);
            writeBlocked = bytes.hasRemaining();
            if (writeBlocked) {
                return;
            }
            chunks.removeFirst();
        }
        // A stalled or blackholed connection does not forward the end of the stream either.
        if (sourceEnded && chunks.isEmpty() && !sinkEnded && !stalled && !faults.blackhole()) {
            sinkEnded = true;
            sink.shutdownOutput();
        }
    }

    private boolean firstChunkDue() {
        return !chunks.isEmpty() && chunks.peekFirst().dueNanos - System.nanoTime() <= 0;
    }

    int readInterest() {
        return sourceEnded || chunks.size() >= MAX_BUFFERED_CHUNKS ? 0 : SelectionKey.OP_READ;
    }

    int writeInterest() {
        return firstChunkDue() ? SelectionKey.OP_WRITE : 0;
    }

    long millisUntilDue() {
        if (chunks.isEmpty() || writeBlocked) {
            return Long.MAX_VALUE;
        }
        return TimeUnit.NANOSECONDS.toMillis(chunks.peekFirst().dueNanos - System.nanoTime()) + 1;
    }

    void stall() {
        stalled = true;
        writeBlocked = false;
        chunks.clear();
    }

    boolean ended() {
        return sourceEnded && chunks.isEmpty();
    }

    private record Chunk(ByteBuffer bytes, long dueNanos) {}
}
