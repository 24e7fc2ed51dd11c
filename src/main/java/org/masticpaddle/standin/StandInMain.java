package org.masticpaddle.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.wire.Json;

/**
 * Runs the stand-ins that an INI file defines in one process, until the process is terminated.
 *
 * <p>Prints one line of JSON with the fields {@code name} and {@code origin} for each stand-in, for a proxy also {@code
 * control}, and then {@code {"ready":true}}.
 */
public final class StandInMain {
    private static final int EXIT_INVALID_SETTINGS = 2;

    private StandInMain() {}

    /**
     * Starts the stand-ins and waits until the process is terminated.
     *
     * @param arguments path of the INI file, as the only argument
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        if (arguments.length != 1) {
            System.err.println("usage: StandInMain FILE.ini");
            System.exit(EXIT_INVALID_SETTINGS);
        }
        try {
            final Kernel kernel = start(Path.of(arguments[0]), System.out);
            Runtime.getRuntime().addShutdownHook(new Thread(kernel::stop, "stop"));
        } catch (IOException | ConfigurationException | RuntimeException e) {
            System.err.println(arguments[0] + ": " + e.getMessage());
            System.exit(EXIT_INVALID_SETTINGS);
        }
        new CountDownLatch(1).await();
    }

    /**
     * Starts the stand-ins that an INI file defines.
     *
     * @param file INI file with a section {@code [KIND]} or {@code [KIND NAME]} for each stand-in
     * @param output receives the lines with the addresses
     * @return the kernel that runs the stand-ins, each registered under the name of its section
     * @throws IOException if the file cannot be read
     * @throws ConfigurationException if the file is not a valid INI file
     */
    public static Kernel start(Path file, PrintStream output) throws IOException, ConfigurationException {
        final INIConfiguration settings = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            settings.read(reader);
        }
        final Map<String, StandIn> standIns = new LinkedHashMap<>();
        final Kernel kernel = new Kernel();
        for (final String section : settings.getSections()) {
            if (section == null) {
                throw new IllegalArgumentException("the file has keys before its first section");
            }
            final StandIn standIn = StandInFactory.create(section, settings.getSection(section));
            standIns.put(section, standIn);
            kernel.register(section, standIn);
        }
        kernel.start();
        standIns.forEach((name, standIn) -> output.println(addressLine(name, standIn)));
        output.println("{\"ready\":true}");
        output.flush();
        return kernel;
    }

    private static String addressLine(String name, StandIn standIn) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("origin", standIn.origin());
        if (standIn instanceof ProxyStandIn proxy) {
            fields.put("control", proxy.controlOrigin());
        }
        return new String(Json.encode(fields), StandardCharsets.UTF_8);
    }
}
