package org.masticpaddle.command;

import java.util.List;

/** Registry of the commands: each has a class of its own and one line here. Thread-safe, having no state. */
final class Commands {
    private Commands() {}

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
