package org.masticpaddle.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

import org.masticpaddle.standin.FaultProxy.Direction;
import org.xnio.IoUtils;

/** A client connection and the connection to the target that it is forwarded to. Confined to the selector thread. */
final class ProxyConnection {
    private final SocketChannel client;
    private final SocketChannel target;
    private final SelectionKey clientKey;
    private final SelectionKey targetKey;
    private final ProxyPipe toTarget;
    private final ProxyPipe toClient;

    ProxyConnection(SocketChannel client, InetSocketAddress address, Selector selector, ProxyFaults faults)
            throws IOException {
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
        toTarget = new ProxyPipe(client, target, Direction.TO_TARGET, faults);
        toClient = new ProxyPipe(target, client, Direction.TO_CLIENT, faults);
    }

    void handleReady(SelectionKey key) {
        try {
            if (key.isValid() && key.isConnectable()) {
                target.finishConnect();
            }
        } catch (IOException e) {
            reset();
        }
    }

    /**
     * Forwards bytes in both directions until a channel would block, and registers for the events that let it continue.
     */
    void transfer() {
        if (closed() || target.isConnectionPending()) {
            return;
        }
        try {
            toTarget.transfer();
            toClient.transfer();
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

    long millisUntilDue() {
        return Math.min(toTarget.millisUntilDue(), toClient.millisUntilDue());
    }

    void stall(Direction direction) {
        (direction == Direction.TO_TARGET ? toTarget : toClient).stall();
    }

    void reset() {
        try {
            client.setOption(StandardSocketOptions.SO_LINGER, 0);
            target.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // The option cannot be set on a closed socket, which needs no reset.
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
