package org.masticpaddle.command;

import java.io.PrintStream;

/**
 * One command of the tool. An implementation is an object with JCommander parameters that is used for one run by one
 * thread; {@link Tool} adds {@code --help}.
 */
public interface Command {
    /**
     * Returns the name on the command line.
     *
     * @return one lower-case word
     */
    String name();

    /**
     * Describes the command for {@code --help}, with its exit codes if they differ from those of {@link ExitCode}.
     *
     * @return one or two sentences
     */
    String description();

    /**
     * Runs the command after its parameters were set.
     *
     * @param out receives the result
     * @param err receives problems and explanations
     * @return exit code, one of {@link ExitCode}
     * @throws CommandException if the command cannot go on; the tool prints its message
     */
    int run(PrintStream out, PrintStream err);
}
