package org.masticpaddle.command;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;

import org.masticpaddle.document.Problem;
import org.masticpaddle.routes.check.ConfigurationDraft;
import org.masticpaddle.routes.check.ConfigurationFormat;
import org.masticpaddle.routes.check.DraftCheck;
import org.masticpaddle.routes.check.DraftDifference;
import org.masticpaddle.routes.check.DraftReading;

/** A configuration of gateways in the form of a platform. Immutable and thread-safe. */
final class RoutingForm implements CheckedForm {
    private final ConfigurationFormat format;
    private final long maxBodyBytes;

    /**
     * Creates the form.
     *
     * @param format form of the platform's operator
     * @param maxBodyBytes largest body that gateways accept by their settings, in bytes
     */
    RoutingForm(ConfigurationFormat format, long maxBodyBytes) {
        this.format = Objects.requireNonNull(format, "format is null");
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public boolean recognises(SourceFile file) {
        return format.recognises(file.name(), file.content());
    }

    @Override
    public List<SourceFile> inForce(URI origin, List<SourceFile> files) {
        return LogOptions.withClient(client -> {
            try {
                return List.of(new SourceFile(
                        origin.toString(),
                        format.inForce(client, origin)
                                .join()
                                .orElseThrow(() -> new CommandException(
                                        ExitCode.NEGATIVE, "no configuration is in force at " + origin))));
            } catch (CompletionException e) {
                throw new CommandException(
                        ExitCode.UNAVAILABLE,
                        origin + " unavailable: " + e.getCause().getMessage());
            }
        });
    }

    @Override
    public CheckReport check(List<SourceFile> files, Optional<List<SourceFile>> base) {
        if (files.size() > 1) {
            throw new CommandException(
                    ExitCode.USAGE, "expected one file, since " + files.get(0).name() + " is a whole configuration");
        }
        final SourceFile file = files.get(0);
        final DraftReading reading = format.read(file.name(), file.content());
        final List<Problem> problems = new ArrayList<>(reading.problems());
        if (reading.draft().isEmpty()) {
            return new CheckReport(problems, "", Optional.empty());
        }
        final ConfigurationDraft draft = reading.draft().get();
        problems.addAll(DraftCheck.check(file.name(), draft, maxBodyBytes));
        final Optional<Base> read = base.map(this::readBase);
        problems.addAll(DraftCheck.checkVersion(
                file.name(), draft, read.map(known -> known.draft.version()).orElse(OptionalLong.empty())));
        // Entries with mistakes are missing from the draft and would be shown as removed.
        final Optional<CheckReport.Comparison> comparison = draft.complete()
                ? read.map(known -> new CheckReport.Comparison(
                        known.name, DraftDifference.between(known.draft, draft), known.mistakes))
                : Optional.empty();
        return new CheckReport(problems, summary(draft), comparison);
    }

    private Base readBase(List<SourceFile> files) {
        final SourceFile file = files.get(0);
        final DraftReading reading = format.read(file.name(), file.content());
        final ConfigurationDraft draft = reading.draft()
                .orElseThrow(() -> new CommandException(
                        ExitCode.USAGE,
                        "cannot compare: " + reading.problems().get(0).message()));
        return new Base(
                file.name(), draft, draft.complete() ? 0 : reading.problems().size());
    }

    private static String summary(ConfigurationDraft draft) {
        return "version " + draft.version().orElse(0) + ", " + draft.routes().size() + " routes, "
                + draft.services().size() + " services, "
                + draft.organisations().size() + " organisations";
    }

    private record Base(String name, ConfigurationDraft draft, int mistakes) {}
}
