package org.masticpaddle.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Client with an event loop of its own, and a socket of the peer that it connects to, for each test. Used by one thread. */
final class ClientFixture implements BeforeEachCallback, AfterEachCallback {
    private final EventLoop loop = new EventLoop("test");
    private final HttpClient client = new HttpClient(loop, ConnectionTimeouts.DEFAULT);
    private ServerSocket server;

    EventLoop loop() {
        return loop;
    }

    HttpClient client() {
        return client;
    }

    /** Returns the socket on which the peer accepts connections. */
    ServerSocket server() {
        return server;
    }

    @Override
    public void beforeEach(ExtensionContext context) throws IOException {
        client.start();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @Override
    public void afterEach(ExtensionContext context) throws IOException {
        server.close();
        client.stop();
        loop.stop();
    }
}
