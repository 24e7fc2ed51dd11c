import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: keyed topics with conditional appends and long-poll reads, as in PROTOCOL.md. Thread-safe. */
final class Store implements AutoCloseable {
    private static final int PAGE_RECORDS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        final Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Topic> topics = new HashMap<>();

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized long put(String topic, String key, String value) {
        final long offset = topic(topic).append(key, value.getBytes(StandardCharsets.UTF_8));
        notifyAll();
        return offset;
    }

    synchronized String newest(String topic, String key) {
        final Entry entry = topic(topic).newest.get(key);
        return entry == null ? "" : new String(entry.value, StandardCharsets.UTF_8);
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, ignored -> new Topic());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            final byte[] body = exchange.getRequestBody().readAllBytes();
            final Map<String, String> query = new HashMap<>();
            final String raw = exchange.getRequestURI().getQuery();
            for (final String pair : raw == null ? new String[0] : raw.split("&")) {
                final int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/log-newest" -> newest(exchange, query);
                case "/log-read" -> read(exchange, query);
                case "/log-append" -> append(exchange, query, body);
                default -> respond(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        final StringBuilder items = new StringBuilder();
        long end;
        boolean more = false;
        synchronized (this) {
            final Topic topic = topic(query.get("Topic"));
            end = topic.next;
            int count = 0;
            for (final Map.Entry<String, Entry> item :
                    topic.newest.tailMap(query.getOrDefault("After", ""), false).entrySet()) {
                if (count == PAGE_RECORDS) {
                    more = true;
                    break;
                }
                items.append(count++ == 0 ? "" : ",").append(String.format("{\"Key\":\"%s\",\"Value\":\"%s\",\"Offset\":%d}",
                        item.getKey(), Base64.getEncoder().encodeToString(item.getValue().value), item.getValue().offset));
            }
        }
        respond(exchange, 200, ("{\"Items\":[" + items + "],\"HasMore\":" + more + ",\"End\":" + end + "}").getBytes(StandardCharsets.UTF_8));
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        final long from = Long.parseLong(query.getOrDefault("From", "0"));
        final long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            final Topic topic = topic(query.get("Topic"));
            for (long left = until - System.nanoTime(); from >= topic.next && left > 0; left = until - System.nanoTime()) {
                wait(left / 1_000_000 + 1);
            }
            bytes.writeBytes(ByteBuffer.allocate(16).putLong(topic.next).putLong(0).array());
            topic.entries.subList((int) Math.min(from, topic.next), (int) topic.next).forEach(entry -> bytes.writeBytes(entry.encode()));
        }
        respond(exchange, 200, bytes.toByteArray());
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        final String answer;
        int status = 200;
        synchronized (this) {
            final Topic topic = topic(query.get("Topic"));
            if (query.containsKey("At") && Long.parseLong(query.get("At")) != topic.next) {
                status = 412;
                answer = "{\"End\":" + topic.next + "}";
            } else {
                final long offset = topic.next;
                final ByteBuffer records = ByteBuffer.wrap(body);
                while (records.hasRemaining()) {
                    final byte[] content = new byte[records.getInt()];
                    records.get(content);
                    final int keyLength = content[0] & 0xff;
                    final byte[] value = new byte[content.length - 1 - keyLength];
                    System.arraycopy(content, 1 + keyLength, value, 0, value.length);
                    topic.append(new String(content, 1, keyLength, StandardCharsets.UTF_8), value);
                }
                notifyAll();
                answer = "{\"Offset\":" + offset + ",\"End\":" + topic.next + "}";
            }
        }
        respond(exchange, status, answer.getBytes(StandardCharsets.UTF_8));
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static final class Topic {
        private final List<Entry> entries = new ArrayList<>();
        private final TreeMap<String, Entry> newest = new TreeMap<>();
        private long next;

        long append(String key, byte[] value) {
            final Entry entry = new Entry(next, key, value);
            entries.add(entry);
            if (value.length == 0) {
                newest.remove(key);
            } else {
                newest.put(key, entry);
            }
            return next++;
        }
    }

    private record Entry(long offset, String key, byte[] value) {
        byte[] encode() {
            final byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(5 + keyBytes.length + value.length)
                    .putInt(1 + keyBytes.length + value.length)
                    .put((byte) keyBytes.length)
                    .put(keyBytes)
                    .put(value)
                    .array();
        }
    }
}
