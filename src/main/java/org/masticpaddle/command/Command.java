package org.masticpaddle.command;

import java.io.PrintStream;

/**
 * Command of the command-line tool. Implementations declare their options as JCommander parameters; an instance is
 * used for one run, by one thread. {@link Tool} adds the option {@code --help}.
 */
public interface Command {
    /**
     * Returns the name by which the command is invoked.
     *
     * @return one lower-case word
     */
    String name();

    /**
     * Returns the description for {@code --help}, with the exit codes if they differ from {@link ExitCode}.
     *
     * @return one or two sentences
     */
    String description();

    /**
     * Runs the command. Its parameters must have been set.
     *
     * @param out receives the result
     * @param err receives error messages and hints
     * @return exit code, one of {@link ExitCode}
     * @throws CommandException if the command fails; the tool prints its message and exits with its code
     */
    int run(PrintStream out, PrintStream err);
}
