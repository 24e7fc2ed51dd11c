package org.masticpaddle.command;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.masticpaddle.document.ConfigurationResponse;
import org.masticpaddle.document.HttpConfigurationPeer;
import org.masticpaddle.document.PublishedPart;
import org.masticpaddle.document.Publisher;
import org.masticpaddle.document.Snapshot;

/** Prints the document in effect. Used by one thread. */
final class ShowCommand implements Command {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    @ParametersDelegate
    private LogOptions logOptions = new LogOptions();

    @Parameter(names = "--team", description = "Team whose part is printed; default: all")
    private String team = "";

    @Parameter(names = "--entry", description = "Origin of an entry to ask in place of the log")
    private String entry = "";

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "show";
    }

    @Override
    public String description() {
        return "Print the document on the log, or the one in effect at an entry";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        final Snapshot state =
                entry.isEmpty() ? logOptions.withPublisher(Publisher::read).snapshot() : fetchFromEntry();
        final List<PublishedPart> parts = state.parts().stream()
                .filter(part -> team.isEmpty() || part.team().equals(team))
                .toList();
        if (output == OutputFormat.JSON) {
            ResultPrinter.printJson(out, new ShownDocument(state.upTo(), state.revision(), parts));
        } else {
            parts.forEach(part -> {
                out.print(PartFile.header(part.team(), part.revision()));
                out.print(part.text().stripLeading());
                out.println(part.text().endsWith("\n") ? "" : "\n");
            });
        }
        if (parts.isEmpty()) {
            err.println(team.isEmpty() ? "no part is published" : "team " + team + " has no part");
            return ExitCode.NEGATIVE;
        }
        return ExitCode.SUCCESS;
    }

    private Snapshot fetchFromEntry() {
        return LogOptions.withClient(client -> {
            try {
                final Optional<ConfigurationResponse> answer = new HttpConfigurationPeer(client, REQUEST_TIMEOUT)
                        .fetch(LogOptions.parseOrigin("--entry", entry), 0)
                        .join();
                return answer.orElseThrow(
                                () -> new CommandException(ExitCode.NEGATIVE, entry + " has no document in effect"))
                        .changes();
            } catch (CompletionException e) {
                throw new CommandException(ExitCode.UNAVAILABLE, e.getCause().getMessage());
            }
        });
    }

    private record ShownDocument(long offset, long revision, List<PublishedPart> parts) {}
}
