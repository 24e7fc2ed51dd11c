package org.masticpaddle.command;

import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

import com.beust.jcommander.Parameter;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.check.ConfigurationFormat;

/**
 * Command {@code check}: validates a configuration before it is sent, either files that together are one routing document, or
 * one file in the form of the platform. Used by one thread.
 */
final class CheckCommand implements Command {
    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--team", description = "Only team whose sections the files may contain; default: any team")
    private String team = "";

    @Parameter(names = "--against", description = "File with the configuration that the files are compared with")
    private String against = "";

    @Parameter(
            names = "--in-force",
            description =
                    "Address of the store with the configuration in force, which the files are compared with, for "
                            + "example 10.0.0.1:8080")
    private String inForce = "";

    @Parameter(
            names = "--max-body-bytes",
            description = "max_body_bytes of the gateways' settings, above which they reject bodies")
    private long maxBodyBytes = RequestLimits.DEFAULT.maxBodyBytes();

    @Parameter(names = "--output", description = "text or json")
    private OutputFormat output = OutputFormat.TEXT;

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String description() {
        return "Validate files as one configuration, list all mistakes, and compare it with another one";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (!against.isEmpty() && !inForce.isEmpty()) {
            throw new CommandException(ExitCode.USAGE, "expected one of --against and --in-force");
        }
        final List<SourceFile> sources = files.stream().map(SourceFile::read).toList();
        final CheckedForm form = form(sources.get(0));
        final CheckReport report = form.check(sources, base(form, sources));
        if (output == OutputFormat.JSON) {
            report.printJson(out);
        } else {
            report.printText(out, err);
        }
        return report.passed() ? ExitCode.SUCCESS : ExitCode.NEGATIVE;
    }

    private CheckedForm form(SourceFile source) {
        final List<CheckedForm> forms = new ArrayList<>();
        ServiceLoader.load(ConfigurationFormat.class)
                .forEach(format -> forms.add(new RoutingForm(format, maxBodyBytes)));
        return forms.stream()
                .filter(form -> form.recognises(source))
                .findFirst()
                .orElseGet(() -> new DocumentForm(team));
    }

    private Optional<List<SourceFile>> base(CheckedForm form, List<SourceFile> sources) {
        if (!against.isEmpty()) {
            return Optional.of(List.of(SourceFile.read(against)));
        }
        if (inForce.isEmpty()) {
            return Optional.empty();
        }
        final URI origin =
                LogOptions.parseOrigin("--in-force", inForce.startsWith("http://") ? inForce : "http://" + inForce);
        return Optional.of(form.inForce(origin, sources));
    }
}
