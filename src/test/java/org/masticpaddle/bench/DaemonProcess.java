package org.masticpaddle.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.masticpaddle.command.Daemon;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.standin.FaultProxy;

/** One daemon as an operating-system process, behind a proxy whose address stays the same across restarts. */
final class DaemonProcess {
    private static final Pattern PORT = Pattern.compile("listens on port (\\d+)");
    private static final long EXIT_SECONDS = 60;

    private final String id;
    private final String settings;
    private final Path directory;
    private final FaultProxy proxy = new FaultProxy(URI.create("http://127.0.0.1:1"));
    private int starts;
    private Path log;
    private Process process;

    DaemonProcess(String id, String settings, Path directory) {
        this.id = id;
        this.settings = settings;
        this.directory = directory;
        proxy.start();
    }

    String id() {
        return id;
    }

    FaultProxy proxy() {
        return proxy;
    }

    /** Starts the process without waiting until it listens, so that several can start in parallel. */
    void launch() {
        try {
            final Path file = Files.writeString(directory.resolve(id + ".ini"), settings);
            log = directory.resolve(id + "-" + ++starts + ".log");
            process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xmx64m",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Daemon.class.getName(),
                            file.toString())
                    .redirectOutput(log.toFile())
                    .redirectErrorStream(true)
                    .start();
        } catch (IOException e) {
            throw new IllegalStateException("cannot start " + id, e);
        }
    }

    /** Waits until the process listens, and points the proxy at its port. */
    void awaitPort() {
        Conditions.await(() -> PORT.matcher(log()).find());
        final Matcher matcher = PORT.matcher(log());
        matcher.find();
        proxy.retarget(URI.create("http://127.0.0.1:" + matcher.group(1)));
    }

    void restart() {
        launch();
        awaitPort();
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the log of " + id, e);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    void pause() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    /** Sends SIGTERM, which makes the daemon drain and exit. */
    void terminate() {
        process.destroy();
    }

    int awaitExit() {
        try {
            if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(id + " did not exit within " + EXIT_SECONDS + " s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Kills the process, even if it is paused, and stops the proxy. */
    void close() {
        if (process != null) {
            process.destroyForcibly();
        }
        proxy.stop();
    }

    private void signal(String name) {
        try {
            final Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
            if (kill.waitFor() != 0) {
                throw new IllegalStateException("cannot send SIG" + name + " to " + id);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("cannot send SIG" + name + " to " + id, e);
        }
    }
}
