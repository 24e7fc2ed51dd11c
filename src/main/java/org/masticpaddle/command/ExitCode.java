package org.masticpaddle.command;

/** Exit codes of the tool and the daemon. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int SUCCESS = 0;
    /** The result is negative: mistakes found, edit rejected, difference found, or name not found. */
    public static final int NEGATIVE = 1;
    /** Invalid usage: unknown command or option, missing argument, unreadable file, invalid settings. */
    public static final int USAGE = 2;
    /** The outcome is unknown: the operation may have taken effect, or may still do so. */
    public static final int UNKNOWN = 3;
    /** A required service was unavailable, and the operation had no effect. */
    public static final int UNAVAILABLE = 4;

    private ExitCode() {}
}
