import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command and the settings template of the deploy file. Used by one thread. */
final class Gateway implements AutoCloseable {
    private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}");

    final int port;
    final Path log;
    private final int readyPort;
    private final Process process;

    /** Starts a gateway; BOUNDS are those of the site kaipan-bookings. */
    Gateway(String name, int storePort, Path directory) throws IOException {
        port = freePort();
        readyPort = freePort();
        final Map<String, String> fields = Map.ofEntries(
                Map.entry("Node", name), Map.entry("Region", "pk-central"), Map.entry("Zone", "pk-lahore"),
                Map.entry("Platform.Address", "127.0.0.1:" + storePort),
                Map.entry("Listen.Front", "127.0.0.1:" + port), Map.entry("Listen.Ready", "127.0.0.1:" + readyPort),
                Map.entry("Bounds.RevokeMs", "5000"), Map.entry("Bounds.DrainMs", "2000"),
                Map.entry("Bounds.StableWindowMs", "3000"), Map.entry("Bounds.GraceS", "8"),
                Map.entry("Bounds.RetryBudgetRatio", "0.9"), Map.entry("Bounds.RetryBudgetSlack", "54"),
                Map.entry("Bounds.BudgetWindowS", "10"), Map.entry("Bounds.ExposeShare", "0.15"),
                Map.entry("Bounds.ExposeSlack", "30"), Map.entry("Bounds.SessionS", "5"));
        String settings = Files.readString(Path.of("deploy/gateway.ini"));
        final Matcher section = SECTION.matcher(settings);
        settings = section.replaceAll(match -> match.group(2).replace("{{.}}", fields.get(match.group(1))));
        for (final Map.Entry<String, String> field : fields.entrySet()) {
            settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        final Path file = directory.resolve(name + ".ini");
        Files.writeString(file, settings);
        log = directory.resolve(name + ".log");
        final Matcher command = COMMAND.matcher(Files.readString(Path.of("deploy/system.toml")));
        command.find();
        final List<String> words = new ArrayList<>(List.of(command.group(1).split(" ")));
        words.set(words.size() - 1, file.toString());
        final ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        builder.environment().put("MASTICPADDLE_BOOT", file.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the status of the readiness check, 0 without an answer within a second. */
    int ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress("127.0.0.1", readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return Message.read(socket.getInputStream()).status();
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    void awaitReady() throws InterruptedException {
        final long until = System.nanoTime() + 20_000_000_000L;
        while (ready() != 200) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("the gateway does not become ready");
            }
            Thread.sleep(50);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
