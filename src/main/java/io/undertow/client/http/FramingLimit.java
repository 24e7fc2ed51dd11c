package io.undertow.client.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;

import io.undertow.client.ClientConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes of a response that belong to no body: the head, and the framing of chunks. Undertow's client has no such
 * limit: it reads a head, or the size of a chunk, for as long as the peer sends one.
 *
 * <p>In this package because the channel of a client connection is not public. Used on the connection's I/O thread only.
 */
public final class FramingLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final int maxBytes;
    private long bytesSinceProgress;

    private FramingLimit(StreamSourceConduit next, int maxBytes) {
        super(next);
        this.maxBytes = maxBytes;
    }

    /**
     * Limits the next response on a connection. The connection removes the limit at the end of the response.
     *
     * @param connection idle connection of Undertow's HTTP/1.1 client
     * @param maxBytes largest number of bytes between two calls of {@link #onProgress()}
     * @return limit that counts the bytes which the connection reads from now on
     */
    public static FramingLimit install(ClientConnection connection, int maxBytes) {
        Objects.requireNonNull(connection, "connection is null");
        final ConduitStreamSourceChannel channel =
                ((HttpClientConnection) connection).getConnection().getSourceChannel();
        final FramingLimit limit = new FramingLimit(channel.getConduit(), maxBytes);
        channel.setConduit(limit);
        return limit;
    }

    /** Starts the count anew, since the head or bytes of the body were received. */
    public void onProgress() {
        bytesSinceProgress = 0;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        final int count = next.read(buffer);
        bytesSinceProgress += Math.max(0, count);
        if (bytesSinceProgress > maxBytes) {
            throw new IOException("more than " + maxBytes + " bytes of the response belong to no body");
        }
        return count;
    }
}
