package org.masticpaddle.command;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.platform.EventLog;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.PlatformException;
import org.masticpaddle.wire.HttpClient;

/** Options of the commands that read or append to the platform's log. Used by one thread. */
final class LogOptions {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    @Parameter(
            names = "--log",
            description = "Origin of the platform's log, for example http://10.0.0.1:8080; default: MASTICPADDLE_LOG")
    private String log = System.getenv().getOrDefault("MASTICPADDLE_LOG", "");

    @Parameter(names = "--timeout-seconds", description = "Maximum time to wait for the log, in seconds")
    private int timeoutSeconds = 15;

    /** Returns the options for a log. */
    static LogOptions of(URI origin) {
        final LogOptions options = new LogOptions();
        options.log = origin.toString();
        return options;
    }

    /** Returns whether the origin of a log is set, by the option or by the environment variable. */
    boolean hasOrigin() {
        return !log.isEmpty();
    }

    /** Runs an action with a publisher. Throws {@link CommandException} if the log is unavailable. */
    <T> T withPublisher(Function<Publisher, T> action) {
        final URI origin = parseOrigin("--log", log);
        return withClient(client -> {
            final HttpEventLog eventLog = new HttpEventLog(client, origin, REQUEST_TIMEOUT);
            final Duration timeout = Duration.ofSeconds(timeoutSeconds);
            try {
                return action.apply(new Publisher(eventLog, timeout, RandomSource.XO_RO_SHI_RO_128_PP.create()));
            } catch (PlatformException e) {
                throw new CommandException(ExitCode.UNAVAILABLE, "log unavailable: " + e.getMessage());
            }
        });
    }

    /** Runs an action with a client of the log. Throws {@link CommandException} if the log is unavailable. */
    <T> T withLog(Function<EventLog, T> action) {
        final URI origin = parseOrigin("--log", log);
        return withClient(client -> {
            try {
                return action.apply(new HttpEventLog(client, origin, Duration.ofSeconds(timeoutSeconds)));
            } catch (CompletionException e) {
                throw new CommandException(
                        ExitCode.UNAVAILABLE, "log unavailable: " + e.getCause().getMessage());
            }
        });
    }

    /** Runs an action with an HTTP client, which is stopped afterwards. */
    static <T> T withClient(Function<HttpClient, T> action) {
        final HttpClient client = new HttpClient(1);
        client.start();
        try {
            return action.apply(client);
        } finally {
            client.stop();
        }
    }

    /** Parses the value of an option as an origin. Throws {@link CommandException} if it is none. */
    static URI parseOrigin(String option, String text) {
        if (!text.matches("http://[^/\\s]+:\\d{1,5}")) {
            throw new CommandException(
                    ExitCode.USAGE, option + ": expected an origin like http://10.0.0.1:8080, found \"" + text + "\"");
        }
        return URI.create(text);
    }
}
