package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connection of a client to a gateway. */
public final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    public Client(int port, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Answer to a request: status 0 if the connection ended without a complete one. */
    public record Answer(int status, String stamp, String body, String problem) {}

    /** Sends a request with a length. */
    public void send(String method, String path, String id, String key, long deadlineMillis, byte[] body)
            throws IOException {
        final String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n" + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Sends raw bytes. */
    public void sendRaw(String text) throws IOException {
        Request.write(out, text);
    }

    public Answer receive() {
        int status = 0;
        String stamp = "";
        try {
            final Request head = Request.readHead(in);
            if (head == null) {
                return new Answer(0, "", "", "closed without an answer");
            }
            status = head.status();
            stamp = head.header("response-stamp");
            final byte[] body = head.readBody(in, true);
            return new Answer(status, stamp, new String(body, StandardCharsets.ISO_8859_1), "");
        } catch (IOException e) {
            return new Answer(0, stamp, "", "status " + status + ", then " + e);
        }
    }

    /** Sends one request on a connection of its own. */
    public static Answer call(
            int port, String method, String path, String id, String key, long deadlineMillis, byte[] body) {
        try (Client client = new Client(port, (int) deadlineMillis + 2_000)) {
            client.send(method, path, id, key, deadlineMillis, body);
            return client.receive();
        } catch (IOException e) {
            return new Answer(0, "", "", e.toString());
        }
    }

    /** Makes the close a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
