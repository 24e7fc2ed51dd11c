package org.masticpaddle.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.masticpaddle.standin.StandInMain;

/** Runs the stand-ins of an INI file until the process is terminated. Used by one thread. */
final class StandInCommand implements Command {
    @Parameter(description = "FILE.ini", required = true)
    private List<String> files = new ArrayList<>();

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String description() {
        return "Run the stand-ins of an INI file, one section each, until the process is terminated";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (files.size() != 1) {
            throw new CommandException(ExitCode.USAGE, "expected one file, found " + files.size());
        }
        try {
            StandInMain.main(files.toArray(String[]::new));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.SUCCESS;
    }
}
