package org.masticpaddle.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.masticpaddle.bench.Demonstration;

/** Command {@code demo}: runs a complete deployment on the loopback interface under mixed load. Used by one thread. */
final class DemoCommand implements Command {
    @Parameter(names = "--document", description = "Routing document to publish")
    private String document = System.getProperty("masticpaddle.home", ".") + "/samples/routing.ini";

    @Parameter(names = "--seconds", description = "Duration of the load in seconds")
    private int seconds = 16;

    @Parameter(names = "--rate", description = "Requests per second")
    private int rate = 40;

    @Parameter(names = "--seed", description = "Seed of the random load")
    private long seed = 1;

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String description() {
        return "Run a complete deployment on loopback under mixed load, and check the guarantees.";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final String text;
        try {
            text = Files.readString(Path.of(document), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + document + ": " + e.getMessage());
        }
        final List<String> violations = new Demonstration(text, seconds, rate, seed, out).run();
        violations.forEach(violation -> err.println("violated: " + violation));
        out.println(
                violations.isEmpty() ? "\nevery guarantee held" : "\n" + violations.size() + " guarantees violated");
        return violations.isEmpty() ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }
}
