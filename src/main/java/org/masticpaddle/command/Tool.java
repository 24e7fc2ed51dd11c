package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.List;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Main class of the tool {@code bin/masticpaddle}. Used by one thread. */
public final class Tool {
    private static final Logger LOGGER = LogManager.getLogger(Tool.class);
    private static final String EXIT_CODES = """

            Exit codes:
              0  success
              1  the answer is no: mistakes found, edit rejected, difference found, nothing of that name
              2  wrong usage, or a file that cannot be read
              3  the result is unknown: the operation may have taken effect
              4  a service gave no answer, and the operation had no effect""";

    private final List<Command> commands;

    /**
     * Creates a tool.
     *
     * @param commands its commands
     */
    public Tool(List<Command> commands) {
        this.commands = List.copyOf(commands);
    }

    /**
     * Runs the tool and exits with its code.
     *
     * @param arguments name of a command and its arguments
     */
    public static void main(String[] arguments) {
        int exitCode = ExitCode.UNAVAILABLE;
        try {
            exitCode = new Tool(Commands.all()).run(System.out, System.err, arguments);
        } catch (RuntimeException e) {
            // Threads of a failed command would otherwise keep the process alive.
            LOGGER.error("the command failed", e);
        }
        System.out.flush();
        System.exit(exitCode);
    }

    /**
     * Runs a command.
     *
     * @param out receives the result
     * @param err receives problems and explanations
     * @param arguments name of the command and its arguments
     * @return exit code, one of {@link ExitCode}
     */
    public int run(PrintStream out, PrintStream err, String... arguments) {
        final Help help = new Help();
        final JCommander parser = JCommander.newBuilder()
                .programName("masticpaddle")
                .addObject(help)
                .build();
        for (final Command command : commands) {
            parser.addCommand(command.name(), List.of(command, help));
        }
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            err.println(e.getMessage());
            err.println("masticpaddle --help lists the commands, masticpaddle COMMAND --help the options of one.");
            return ExitCode.USAGE;
        }
        final String name = parser.getParsedCommand();
        if (help.requested && name != null) {
            out.println(usage(parser, name));
            return ExitCode.SUCCESS;
        }
        if (name == null) {
            (help.requested ? out : err).println(usage());
            return help.requested ? ExitCode.SUCCESS : ExitCode.USAGE;
        }
        return run(findCommand(name), out, err);
    }

    private static int run(Command command, PrintStream out, PrintStream err) {
        try {
            return command.run(out, err);
        } catch (CommandException e) {
            err.println(command.name() + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private Command findCommand(String name) {
        return commands.stream()
                .filter(command -> command.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private String usage() {
        final StringBuilder text = new StringBuilder("Usage: masticpaddle COMMAND [options]\n\nCommands:\n");
        commands.forEach(command -> text.append(String.format("  %-10s %s%n", command.name(), command.description())));
        return text.append(EXIT_CODES).toString();
    }

    private String usage(JCommander parser, String name) {
        final StringBuilder text = new StringBuilder(findCommand(name).description()).append('\n');
        final JCommander options = parser.getCommands().get(name);
        options.setProgramName("masticpaddle " + name);
        options.getUsageFormatter().usage(text);
        return text.append(EXIT_CODES).toString();
    }

    private static final class Help {
        @Parameter(names = "--help", description = "Print this text", help = true)
        private boolean requested;
    }
}
