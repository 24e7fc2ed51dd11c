package org.masticpaddle.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

import org.masticpaddle.standin.FaultProxy.Direction;
import org.xnio.IoUtils;

/** One connection through the proxy. Owned by the proxy's thread. */
final class ProxyConnection {
    private final SocketChannel client;
    private final SocketChannel target;
    private final SelectionKey clientKey;
    private final SelectionKey targetKey;
    private final ProxyPipe toTarget;
    private final ProxyPipe toClient;

    ProxyConnection(SocketChannel client, InetSocketAddress address, Selector selector, ProxyFaults rules) throws IOException {
        this.client = client;
        this.target = SocketChannel.open();
        try {
            client.configureBlocking(false);
            target.configureBlocking(false);
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            target.setOption(StandardSocketOptions.TCP_NODELAY, true);
            target.connect(address);
            clientKey = client.register(selector, 0, this);
            targetKey = target.register(selector, SelectionKey.OP_CONNECT, this);
        } catch (IOException e) {
            close();
            throw e;
        }
        toTarget = new ProxyPipe(client, target, Direction.TO_TARGET, rules);
        toClient = new ProxyPipe(target, client, Direction.TO_CLIENT, rules);
    }

    void ready(SelectionKey key) {
        try {
            if (key.isValid() && key.isConnectable()) {
                target.finishConnect();
            }
        } catch (IOException e) {
            reset();
        }
    }

    /** Moves bytes as far as they go, and asks for the events that are needed to go on. */
    void pump() {
        if (closed() || target.isConnectionPending()) {
            return;
        }
        try {
            toTarget.pump();
            toClient.pump();
            if (toTarget.ended() && toClient.ended()) {
                close();
                return;
            }
            clientKey.interestOps(toTarget.readInterest() | toClient.writeInterest());
            targetKey.interestOps(toClient.readInterest() | toTarget.writeInterest());
        } catch (IOException e) {
            reset();
        }
    }

    long waitMillis() {
        return Math.min(toTarget.waitMillis(), toClient.waitMillis());
    }

    void silence(Direction direction) {
        (direction == Direction.TO_TARGET ? toTarget : toClient).silence();
    }

    void reset() {
        try {
            client.setOption(StandardSocketOptions.SO_LINGER, 0);
            target.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // A socket that is closed already needs no reset.
            close();
            return;
        }
        close();
    }

    void close() {
        IoUtils.safeClose(client);
        IoUtils.safeClose(target);
    }

    boolean closed() {
        return !client.isOpen() || !target.isOpen();
    }
}
