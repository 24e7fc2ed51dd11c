package org.masticpaddle.command;

/** Exit codes of the tool. */
public final class ExitCode {
    /** The command did what it was asked. */
    public static final int SUCCESS = 0;
    /** The answer is no: mistakes found, edit rejected, difference found, or nothing of that name. */
    public static final int NEGATIVE = 1;
    /** Wrong usage: unknown command or option, missing argument, file that cannot be read. */
    public static final int USAGE = 2;
    /** The result is unknown: the operation may have taken effect, now or later. */
    public static final int UNKNOWN = 3;
    /** A service gave no answer, and the operation had no effect. */
    public static final int UNAVAILABLE = 4;

    private ExitCode() {}
}
