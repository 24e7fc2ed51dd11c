package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.masticpaddle.standin.StandInMain;

/** Command {@code standin}: runs the stand-ins declared in an INI file. Used by one thread. */
final class StandInCommand implements Command {
    @Parameter(description = "FILE.ini", required = true)
    private List<String> files = new ArrayList<>();

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String description() {
        return "Run the stand-ins declared in an INI file, one per section, until the process is terminated";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (files.size() != 1) {
            throw new CommandException(ExitCode.USAGE, "expected exactly one file, found " + files.size());
        }
        try {
            StandInMain.main(files.toArray(String[]::new));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
