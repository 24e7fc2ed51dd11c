package org.masticpaddle.command;

import java.util.List;

/** Registry of the commands, in the order of the help text. Stateless and thread-safe. */
final class Commands {
    private Commands() {}

    /** Returns new instances of all commands, since an instance serves only one run. */
    static List<Command> all() {
        return List.of(
                new CheckCommand(),
                new PublishCommand(),
                new ShowCommand(),
                new DiffCommand(),
                new HistoryCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new ReportCommand(),
                new DemoCommand(),
                new BenchCommand(),
                new StandInCommand());
    }
}
