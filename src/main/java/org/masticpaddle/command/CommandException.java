package org.masticpaddle.command;

import java.util.Objects;

/** Signals that a command cannot go on, with a message for its user and the exit code. Immutable and thread-safe. */
public final class CommandException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    /**
     * Creates the exception.
     *
     * @param exitCode one of {@link ExitCode}
     * @param message what is wrong and what to do
     */
    public CommandException(int exitCode, String message) {
        super(Objects.requireNonNull(message, "message is null"));
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code.
     *
     * @return one of {@link ExitCode}
     */
    public int exitCode() {
        return exitCode;
    }
}
