import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a worker: accepts connections and passes each request to a behaviour. Thread-safe. */
final class Worker implements AutoCloseable {
    /** Answers one request. */
    interface Behaviour {
        /** Returns whether the connection is kept. */
        boolean answer(Call call) throws IOException, InterruptedException;
    }

    /** One request on one connection. */
    record Call(Worker worker, Socket socket, InputStream in, OutputStream out, Message head, byte[] body) {
        String id() {
            return head.header("request-id");
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    final String id;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final boolean readsBody;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Worker(String id, Behaviour behaviour) throws IOException {
        this(id, behaviour, true);
    }

    /** Creates a worker; READS_BODY is false if the behaviour reads the body itself. */
    Worker(String id, Behaviour behaviour, boolean readsBody) throws IOException {
        this.id = id;
        this.readsBody = readsBody;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void thread(Runnable task) {
        final Thread thread = new Thread(null, task, "worker", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The worker was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean kept = true;
            while (kept) {
                final Message head = Message.read(in);
                if (head == null) {
                    return;
                }
                final Call call = new Call(this, socket, in, socket.getOutputStream(), head, readsBody ? head.body(in, false) : new byte[0]);
                final String expected = head.header("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    call.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    kept = behaviour.answer(call);
                }
            }
        } catch (IOException e) {
            // The gateway closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (final Socket socket : sockets) {
            socket.close();
        }
    }
}
