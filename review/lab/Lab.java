import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small deployment: a store, a configuration, and what clients do. Thread-safe after its creation. */
final class Lab implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    final Store store = new Store();
    final Path directory;
    private final PrintStream record;
    private final long startNanos = System.nanoTime();

    Lab(Path recordFile) throws IOException {
        directory = Files.createTempDirectory("review");
        record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
    }

    /** Writes a line with the time since the start. */
    void note(String format, Object... values) {
        final String line = String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startNanos) / 1e9)
                + String.format(Locale.ROOT, format, values);
        record.println(line);
    }

    /** Writes a line also to standard output. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    /** Publishes a configuration; ROUTES are JSON objects separated by commas. */
    void configure(int version, String routes) {
        store.put("keyed.op", "config", """
                {"Version":%d,"Routes":[%s],
                "Services":[{"Name":"fleet","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,
                "Engine":{"Slots":64,"KvCapacityTokens":630261,"KvTokenBytes":18432,"LinkMbps":130000.0,"Moves":true,"Backups":true,
                "Stride":4,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,
                "Models":[{"Name":"m0","Cost":0.018},{"Name":"m1","Cost":0.14},{"Name":"m2","Cost":0.27}]}},
                {"Name":"app","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}],
                "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
                "Tenants":[{"Name":"hule930","ApiKeys":["%s"],"Priority":0}]}""".formatted(version, routes, KEY));
    }

    static String route(String name, String kind, String service, int timeoutMillis, int targetMillis, int attempts, String more) {
        return String.format(Locale.ROOT,
                "{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\",\"TimeoutMs\":%d,\"TargetLatencyMs\":%d,"
                        + "\"Priority\":2,\"MaxAttempts\":%d,\"Public\":false,\"Service\":\"%s\"%s}",
                name, HOST, name, kind, timeoutMillis, targetMillis, attempts, service, more);
    }

    /** Registers a worker, or renews its entry. */
    void register(Worker worker, String service, String version, String state, long bornMillis, int sequence) {
        store.put("keyed.servers", worker.id, String.format(Locale.ROOT,
                "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"pk-lahore\",\"Version\":\"%s\",\"Slots\":64,"
                        + "\"State\":\"%s\",\"ColdLeftMs\":0,\"Seq\":%d,\"born\":%d}",
                service, worker.port(), version, state, sequence, bornMillis));
    }

    /** Answer to a request: status 0 if the connection ended or broke without a complete answer, -1 if the time was over. */
    record Answer(int status, Map<String, String> headers, String body, double millis, String error) {}

    /** Sends one request on a new connection and waits for its answer for at most patienceMillis. */
    Answer call(int port, String method, String target, Map<String, String> headers, byte[] body, long patienceMillis) {
        final long sent = System.nanoTime();
        final StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.getOutputStream().write(request(method, target, headers, body));
            socket.setSoTimeout((int) patienceMillis);
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final Message head = Message.read(in);
            if (head == null) {
                return new Answer(0, Map.of(), "", millis(sent), "closed");
            }
            if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                for (byte[] chunk = Message.chunk(in); chunk.length > 0; chunk = Message.chunk(in)) {
                    received.append(new String(chunk, StandardCharsets.ISO_8859_1));
                }
            } else {
                received.append(new String(head.body(in, true), StandardCharsets.ISO_8859_1));
            }
            return new Answer(head.status(), head.headers, received.toString(), millis(sent), "");
        } catch (SocketTimeoutException e) {
            return new Answer(-1, Map.of(), received.toString(), millis(sent), "no answer in time");
        } catch (IOException | RuntimeException e) {
            return new Answer(0, Map.of(), received.toString(), millis(sent), e.toString());
        }
    }

    /** Sends some small requests, one after the other, so that the gateway's code is loaded and compiled. */
    void warmUp(int port, String target) {
        for (int number = 0; number < 20; number++) {
            final String id = String.format("aaaa%08x", number);
            final Answer answer = call(port, "POST", target, headers("Request-Id", id, "Deadline-Ms", "8000", "Model", "*",
                    "Token-Counts", "2890,13", "Prompt-Prefix", "aa:1000," + id + ":1890"), new byte[100_000], 8_000);
            note("warm-up: %d", answer.status());
        }
    }

    static byte[] head(String method, String target, Map<String, String> headers, int length) {
        final StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Bearer " + KEY + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
        final byte[] headBytes = head(method, target, headers, body.length);
        final byte[] bytes = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
        System.arraycopy(body, 0, bytes, headBytes.length, body.length);
        return bytes;
    }

    static Map<String, String> headers(String... pairs) {
        final Map<String, String> headers = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            headers.put(pairs[index], pairs[index + 1]);
        }
        return headers;
    }

    static double millis(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1e6;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    @Override
    public void close() throws IOException {
        store.close();
        try (var files = Files.list(directory)) {
            for (final Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
        record.close();
    }
}
