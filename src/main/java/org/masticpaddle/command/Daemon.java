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
import org.masticpaddle.membership.Incarnation;
import org.masticpaddle.metrics.ProcessMetrics;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.Setting;
import org.masticpaddle.settings.SettingsException;
import org.masticpaddle.sidecar.SidecarProcess;
import sun.misc.Signal;

/** Main class of the daemon {@code bin/masticpaddled}: runs one process of the role that its settings choose. */
public final class Daemon {
    private Daemon() {}

    /**
     * Runs the process until it gets SIGTERM, then finishes its work and exits with code 0.
     *
     * @param arguments the settings file
     */
    public static void main(String[] arguments) {
        if (arguments.length == 1 && !arguments[0].startsWith("-")) {
            // The usual start does without the parser, whose reflection would delay a restarted process.
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

    private static void run(Path file) {
        try {
            final Service process = createProcess(ProcessSettings.read(file));
            if (process instanceof GatewayProcess gateway) {
                // Without a handler the virtual machine would end at this signal.
                Signal.handle(new Signal("HUP"), signal -> reload(gateway, file));
            }
            process.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(process), "shutdown"));
        } catch (SettingsException e) {
            e.problems().forEach(System.err::println);
            System.exit(ExitCode.USAGE);
        } catch (KernelException e) {
            logger().error("the process cannot start", e);
            System.exit(ExitCode.UNAVAILABLE);
        }
    }

    private static void reload(GatewayProcess gateway, Path file) {
        try {
            gateway.reload(ProcessSettings.read(file));
        } catch (SettingsException e) {
            logger().warn("the settings were changed to unusable ones and are ignored: {}", e.problems());
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
        final GatewayProcess gateway = new GatewayProcess(settings, ports, log, metrics::page);
        metrics.register(gateway.counters().gauges());
        return gateway;
    }

    /** Creates the binding to the platform that the settings name, or the one that is registered on the class path. */
    private static GatewayPorts loadPorts(String binding) {
        if (binding.isEmpty()) {
            return ServiceLoader.load(GatewayPorts.class)
                    .findFirst()
                    .orElseThrow(() -> new KernelException("no platform is bound: GatewayPorts has no provider"));
        }
        try {
            return Class.forName(binding)
                    .asSubclass(GatewayPorts.class)
                    .getConstructor()
                    .newInstance();
        } catch (ReflectiveOperationException | ClassCastException e) {
            throw new KernelException("[gateway] binding: " + binding + " is no binding to a platform: " + e);
        }
    }

    // Looked up when it is used: the start of a gateway does not wait for the logging library.
    private static Logger logger() {
        return LogManager.getLogger(Daemon.class);
    }

    private static void shutDown(Service process) {
        process.stop();
        // Without this the virtual machine would exit with the code of the signal.
        Runtime.getRuntime().halt(ExitCode.SUCCESS);
    }

    /** Logs the end of a process that has no log of decisions. */
    private record StopLoggingService(Service process) implements Service {
        @Override
        public void start() {
            process.start();
        }

        @Override
        public void stop() {
            logger().info("the process finishes its work and stops");
            process.stop();
            logger().info("the process has stopped");
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
