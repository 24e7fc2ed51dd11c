package lab2;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Gateway process, started with the command of the deploy file and the settings of a small deployment. */
public final class Gateway implements AutoCloseable {
    private final String name;
    private final Path settings;
    private final Path log;
    private final int front;
    private final int operations;
    private Process process;

    public Gateway(Path directory, String name, String zone, int storePort) throws IOException {
        this.name = name;
        front = Lab.freePort();
        operations = Lab.freePort();
        settings = directory.resolve(name + ".ini");
        log = directory.resolve(name + ".log");
        final String text = Files.readString(Path.of("deploy/gateway.ini"))
                .replace("{{Node}}", name)
                .replace("{{Region}}", "r")
                .replace("{{Zone}}", zone)
                .replace("{{Platform.Address}}", "127.0.0.1:" + storePort)
                .replace("{{Listen.Front}}", "127.0.0.1:" + front)
                .replace("{{Listen.Ready}}", "127.0.0.1:" + operations);
        Files.writeString(settings, bounds(text));
    }

    /** Fills in the bounds of the small deployment of the pages, in the order in which the template names them. */
    private static String bounds(String template) {
        String text = template;
        for (final String[] bound : new String[][] {
            {"RevokeMs", "5000"}, {"DrainMs", "2000"}, {"StableWindowMs", "3000"}, {"GraceS", "8"},
            {"RetryBudgetRatio", "0.9"}, {"RetryBudgetSlack", "54"}, {"BudgetWindowS", "10"}, {"ExposeShare", "0.15"},
            {"ExposeSlack", "30"}, {"SessionS", "5"}
        }) {
            text = Pattern.compile("\\{\\{#Bounds\\." + bound[0] + "}}(.*?)\\{\\{/Bounds\\." + bound[0] + "}}", Pattern.DOTALL)
                    .matcher(text)
                    .replaceAll(match -> Matcher.quoteReplacement(match.group(1).replace("{{.}}", bound[1])));
        }
        return Pattern.compile("\\{\\{#.*?\\{\\{/.*?}}", Pattern.DOTALL).matcher(text).replaceAll("");
    }

    public void start() throws IOException {
        final Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        final List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.replaceAll(word -> word.equals("/etc/masticpaddle/node.conf") ? settings.toString() : word);
        final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.directory(new File("."));
        process = builder.start();
        final Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until the gateway reports ready. */
    public boolean awaitReady(long millis) throws Exception {
        final long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    public boolean ready() {
        try (Client client = new Client(operations, 1_000)) {
            client.sendRaw("GET /readyz HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
            return client.receive().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public int front() {
        return front;
    }

    public int operations() {
        return operations;
    }

    public String name() {
        return name;
    }

    public boolean alive() {
        return process.isAlive();
    }

    /** Returns the exit code, or -1 if the process runs. */
    public int exitCode() {
        return process.isAlive() ? -1 : process.exitValue();
    }

    public Path log() {
        return log;
    }

    /** Number of open descriptors of the process. */
    public int descriptors() {
        final String[] names = new File("/proc/" + process.pid() + "/fd").list();
        return names == null ? 0 : names.length;
    }

    /** Number of lines of the gateway's log that hold a text. */
    public long logLines(String text) throws IOException {
        try (java.util.stream.Stream<String> lines = Files.lines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    /** Sends a signal to the process. */
    public void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    public void kill() throws Exception {
        process.destroyForcibly();
        process.waitFor();
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            kill();
        }
    }
}
