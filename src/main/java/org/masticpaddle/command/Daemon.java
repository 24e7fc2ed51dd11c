package org.masticpaddle.command;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.ServiceLoader;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.entry.EntryProcess;
import org.masticpaddle.gateway.GatewayPorts;
import org.masticpaddle.gateway.GatewayProcess;
import org.masticpaddle.kernel.KernelException;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.kernel.SystemShutdownClock;
import org.masticpaddle.membership.Incarnation;
import org.masticpaddle.metrics.ProcessMetrics;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.settings.SettingsException;
import org.masticpaddle.sidecar.SidecarProcess;
import sun.misc.Signal;

/** Main class of the daemon {@code bin/masticpaddled}: runs an entry, a sidecar or a gateway, as its settings specify. */
public final class Daemon {
    private Daemon() {}

    /**
     * Runs the process until SIGTERM, then completes in-flight requests and exits with code 0.
     *
     * @param arguments path of the settings file, or {@code --help}
     */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && !arguments[0].startsWith("-")) {
            // Bypasses JCommander in the common case, because its reflection slows down a restart.
            run(Path.of(arguments[0]));
            return;
        }
        final Options options = new Options();
        final JCommander parser = JCommander.newBuilder()
                .programName("masticpaddled")
                .addObject(options)
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(ExitCode.USAGE);
        }
        if (options.help || options.files.size() != 1) {
            parser.usage();
            System.out.println("Settings:");
            Arrays.stream(Setting.values()).map(Setting::describe).forEach(line -> System.out.println("  " + line));
            System.exit(options.help ? ExitCode.SUCCESS : ExitCode.USAGE);
        }
        run(Path.of(options.files.get(0)));
    }

    private static void run(Path settingsFile) {
        try {
            final Service process = createProcess(ProcessSettings.read(settingsFile));
            if (process instanceof GatewayProcess gateway) {
                // The JVM terminates on SIGHUP unless a handler is installed.
                Signal.handle(new Signal("HUP"), signal -> reload(gateway, settingsFile));
            }
            process.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(process), "shutdown"));
        } catch (SettingsException e) {
            e.problems().forEach(System.err::println);
            System.exit(ExitCode.USAGE);
        } catch (KernelException e) {
            logger().error("the process failed to start", e);
            System.exit(ExitCode.UNAVAILABLE);
        }
    }

    private static void reload(GatewayProcess gateway, Path settingsFile) {
        try {
            gateway.reload(ProcessSettings.read(settingsFile));
        } catch (SettingsException e) {
            logger().warn("the changed settings are invalid and were not applied: {}", e.problems());
        }
    }

    private static Service createProcess(ProcessSettings settings) {
        if ("gateway".equals(settings.text(Setting.ROLE))) {
            return createGateway(settings);
        }
        final long incarnation = Incarnation.of(System.currentTimeMillis(), new SecureRandom().nextLong())
                .value();
        final ProcessMetrics metrics = ProcessMetrics.create(
                settings.text(Setting.INSTANCE), settings.text(Setting.ROLE), settings.origin(Setting.OTLP));
        if ("entry".equals(settings.text(Setting.ROLE))) {
            final EntryProcess entry = new EntryProcess(settings, incarnation, metrics, metrics::renderScrapePage);
            metrics.register(entry.gauges());
            return new StopLoggingService(entry);
        }
        final SidecarProcess sidecar = new SidecarProcess(settings, incarnation, metrics::renderScrapePage);
        metrics.register(sidecar.gauges());
        return new StopLoggingService(sidecar);
    }

    private static Service createGateway(ProcessSettings settings) {
        final GatewayPorts ports = loadPorts(settings.text(Setting.BINDING));
        final DecisionLog log =
                new DecisionLog(settings.text(Setting.INSTANCE), System::currentTimeMillis, System.out::print);
        final LazyMetrics metrics = new LazyMetrics(settings);
        final GatewayProcess gateway =
                new GatewayProcess(settings, ports, log, metrics::page, new SystemShutdownClock());
        metrics.register(gateway.gauges());
        metrics.register(log.gauges());
        return gateway;
    }

    /** Creates the platform binding of the given class or, if empty, the one registered as a service provider. */
    private static GatewayPorts loadPorts(String binding) {
        if (binding.isEmpty()) {
            return ServiceLoader.load(GatewayPorts.class)
                    .findFirst()
                    .orElseThrow(() -> new KernelException(
                            "no platform binding: no provider of GatewayPorts is on the class path"));
        }
        try {
            return Class.forName(binding)
                    .asSubclass(GatewayPorts.class)
                    .getConstructor()
                    .newInstance();
        } catch (ReflectiveOperationException | ClassCastException e) {
            throw new KernelException("[gateway] binding: " + binding + " cannot be used as a platform binding: " + e);
        }
    }

    // Looked up on demand, so that a gateway starts without loading the logging library.
    private static Logger logger() {
        return LogManager.getLogger(Daemon.class);
    }

    private static void shutDown(Service process) {
        process.stop();
        // Otherwise the JVM would exit with the status of the signal.
        Runtime.getRuntime().halt(ExitCode.SUCCESS);
    }

    /** Logs the shutdown of an entry or sidecar, which has no decision log to record it. */
    private record StopLoggingService(Service process) implements Service {
        @Override
        public void start() {
            process.start();
        }

        @Override
        public void stop() {
            logger().info("the process is stopping; in-flight requests are completed first");
            process.stop();
            logger().info("the process stopped");
            LogManager.shutdown();
        }
    }

    private static final class Options {
        @Parameter(description = "FILE.ini")
        private List<String> files = new ArrayList<>();

        @Parameter(names = "--help", description = "Print this text and the settings", help = true)
        private boolean help;
    }
}
