package io.undertow.client.http;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/**
 * Creates connections of Undertow's HTTP/1.1 client over channels that are open already.
 *
 * <p>In this package because their constructor is not public. Thread-safe, since it has no state.
 */
public final class ClientConnections {
    private ClientConnections() {}

    /**
     * Creates a connection.
     *
     * @param channel open channel, with the conduits that the connection reads from and writes to
     * @param buffers buffers for reading
     * @param options options of the connection
     * @return connection without a request
     */
    public static ClientConnection over(StreamConnection channel, ByteBufferPool buffers, OptionMap options) {
        return new HttpClientConnection(channel, options, buffers);
    }
}
