package org.masticpaddle.command;

import java.util.Objects;

/** Signals that a command failed, with a message for the user and an exit code. Immutable and thread-safe. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    /**
     * Creates an exception with an exit code and a message for the user.
     *
     * @param exitCode one of {@link ExitCode}
     * @param message what failed and how to correct it
     */
    public CommandException(int exitCode, String message) {
        super(Objects.requireNonNull(message, "message is null"));
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code for the process of the tool.
     *
     * @return one of {@link ExitCode}
     */
    public int exitCode() {
        return exitCode;
    }
}
