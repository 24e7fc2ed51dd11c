package org.masticpaddle.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.masticpaddle.document.DocumentCheck;
import org.masticpaddle.document.Part;
import org.masticpaddle.document.TeamText;

/**
 * File with a team's part of the routing document. Its first line may be the header
 * {@code # masticpaddle: team T revision N}, a comment written by the command {@code show} that records the revision
 * from which the text was edited. Immutable and thread-safe.
 *
 * @param path path of the file
 * @param part the part, without the header
 * @param baseRevision revision in the header, empty if the file has no header
 */
record PartFile(Path path, Part part, OptionalLong baseRevision) {
    /** Bytes allowed for the header, which does not count towards the size of the document. */
    private static final int MAX_HEADER_BYTES = 200;

    private static final Pattern HEADER =
            Pattern.compile("\\A\uFEFF?# masticpaddle: team (\\S{1,64}) revision (\\d{1,15})\\R");

    /** Returns the header line, with its line break. */
    static String header(String team, long revision) {
        return "# masticpaddle: team " + team + " revision " + revision + "\n";
    }

    /**
     * Reads a file as the part of a team. If {@code team} is empty, the file may contain sections of any team; with
     * {@code select}, sections of other teams are dropped.
     */
    static PartFile read(String file, String team, boolean select) {
        return of(SourceFile.read(file), team, select);
    }

    /** Takes content that was read from a file as the part of a team, as {@link #read} does. */
    static PartFile of(SourceFile source, String team, boolean select) {
        final String file = source.name();
        final byte[] bytes = source.content();
        if (select && bytes.length > DocumentCheck.MAX_BYTES + MAX_HEADER_BYTES) {
            throw new CommandException(
                    ExitCode.NEGATIVE, file + ": expected at most " + DocumentCheck.MAX_BYTES + " bytes");
        }
        final Part content = DocumentCheck.read(team, file, bytes);
        final Matcher matcher = HEADER.matcher(content.text());
        final boolean hasHeader = matcher.find();
        if (hasHeader && !team.isEmpty() && !matcher.group(1).equals(team)) {
            throw new CommandException(
                    ExitCode.USAGE, file + " contains the part of team " + matcher.group(1) + ", not of team " + team);
        }
        // Keeps an empty line in place of the header, so that line numbers in problems match the file.
        final String text = hasHeader ? "\n" + content.text().substring(matcher.end()) : content.text();
        final String partText = select ? TeamText.split(text).getOrDefault(team, "") : text;
        return new PartFile(
                Path.of(file),
                new Part(team, file, partText),
                hasHeader ? OptionalLong.of(Long.parseLong(matcher.group(2))) : OptionalLong.empty());
    }

    /** Updates the revision in the header, if there is one, so that the next edit has the new base revision. */
    void updateHeader(long revision) {
        if (baseRevision.isEmpty()) {
            return;
        }
        try {
            final String text = Files.readString(path, StandardCharsets.UTF_8);
            Files.writeString(path, HEADER.matcher(text).replaceFirst(header(part.owner(), revision)));
        } catch (IOException e) {
            throw new CommandException(
                    ExitCode.SUCCESS,
                    "published as revision " + revision + ", but cannot update the first line of " + path + ": "
                            + e.getMessage());
        }
    }
}
