package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Worker that checks the expected instance, answers health probes and leaves the rest to a handler. One thread per connection.
 */
public final class Worker implements AutoCloseable {
    private final String id;
    private final Handler handler;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();

    /** Handles the requests of a worker. */
    public interface Handler {
        /** Answers one request; returns whether the connection is kept. */
        boolean handle(Request request, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    public Worker(String id, Handler handler) throws IOException {
        this(id, handler, 0);
    }

    /** Creates a worker whose connections hold few unread bytes; 0 for the usual number. */
    public Worker(String id, Handler handler, int receiveBufferBytes) throws IOException {
        this.id = id;
        this.handler = handler;
        server = new ServerSocket();
        if (receiveBufferBytes > 0) {
            server.setReceiveBufferSize(receiveBufferBytes);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Lab.daemon(this::accept);
    }

    public String id() {
        return id;
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Number of connections that were accepted. */
    public int connections() {
        return connections.get();
    }

    private void accept() {
        while (true) {
            try {
                final Socket socket = server.accept();
                connections.incrementAndGet();
                sockets.add(socket);
                Lab.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            boolean kept = true;
            while (kept) {
                final Request request = Request.readHead(in);
                if (request == null) {
                    return;
                }
                if (request.target().equals("/healthz")) {
                    Request.write(out, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!request.header("expect-instance").isEmpty()
                        && !request.header("expect-instance").equals(id)) {
                    request.readBody(in, false);
                    Request.write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    kept = handler.handle(request, in, out, socket);
                }
            }
        } catch (Exception e) {
            // The peer has left.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Head of a signed answer. */
    public static String head(Request request, int status, int length) {
        return "HTTP/1.1 " + status + " Answer\r\nRequest-Id: " + request.header("request-id")
                + "\r\nResponse-Stamp: stamp\r\nInstance-Load: 1,0,6\r\nContent-Length: " + length + "\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (final Socket socket : sockets) {
            socket.close();
        }
    }
}
