package lab2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.masticpaddle.adapter.standin.StoreStandIn;

/** Parts that all scripts share: the record, ports, threads, and the entries in the platform's store. */
public final class Lab {
    /** Whether the script brings about its disruption. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Lab() {}

    /** Opens the record of a script. */
    public static void open(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        note("disruption %s", TROUBLE ? "on" : "off");
    }

    /** Writes a line with the time since the start to the record. */
    public static synchronized void note(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%9.3f ", millis() / 1e3) + String.format(Locale.ROOT, format, values));
    }

    public static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    public static void daemon(Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Writes the entry of a worker as the worker would. */
    public static void register(StoreStandIn store, Worker worker, String service, String version, String state, long number) {
        store.put("keyed.servers", worker.id(), entry(worker.port(), service, version, state, number));
    }

    public static String entry(int port, String service, String version, String state, long number) {
        return String.format(
                Locale.ROOT,
                "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"z\",\"Version\":\"%s\",\"Slots\":6,\"State\":\"%s\","
                        + "\"ColdLeftMs\":0,\"Seq\":%d,\"born\":1}",
                service, port, version, state, number);
    }

    /** Route of a configuration; kind is that of the pages. */
    public static String route(String name, String kind, String service, int attempts, long timeoutMillis, String more) {
        return String.format(
                Locale.ROOT,
                "{\"Name\":\"%s\",\"Host\":\"127.0.0.1\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\",\"TimeoutMs\":%d,"
                        + "\"TargetLatencyMs\":400,\"Priority\":1,\"MaxAttempts\":%d,\"Public\":false,\"Service\":\"%s\"%s}",
                name, name, kind, timeoutMillis, attempts, service, more);
    }

    /** Writes a configuration whose only key is "key-1". */
    public static void configure(StoreStandIn store, long version, String routes, String services) {
        configure(store, version, routes, services, "\"key-1\"");
    }

    public static void configure(StoreStandIn store, long version, String routes, String services, String keys) {
        store.put(
                "keyed.op",
                "config",
                "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services
                        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                        + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"north\",\"ApiKeys\":[" + keys + "],\"Priority\":1}]}");
    }

    /** Service of a configuration without engines. */
    public static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}";
    }

    public static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - millis()));
    }
}
