package io.undertow.client.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;

/**
 * Tells whether the peer of an idle connection has sent anything since the last response.
 *
 * <p>In this package because the channel of a client connection is not public. Stateless.
 */
public final class ConnectionSilence {
    private ConnectionSilence() {}

    /**
     * Returns whether a connection is open and has no bytes that belong to no request. Consumes one of them if there are any, so
     * that the connection must then be closed. Runs on the connection's I/O thread.
     *
     * @param connection idle connection of Undertow's HTTP/1.1 client
     * @return {@code true} if the next bytes of the connection will be those of the next response
     */
    public static boolean holds(ClientConnection connection) {
        try {
            return ((HttpClientConnection) connection)
                            .getConnection()
                            .getSourceChannel()
                            .read(ByteBuffer.allocate(1))
                    == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
