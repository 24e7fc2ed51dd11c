package org.masticpaddle.command;

import java.io.IOException;
import java.io.InputStream;
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
 * File with the part of a team. Its first line may be the comment {@code # masticpaddle: team T revision N}, which
 * {@code show} writes and which names the revision that the text was edited from. Immutable and thread-safe.
 *
 * @param path the file
 * @param part the part; its text has no such line
 * @param baseRevision revision in the first line
 */
record PartFile(Path path, Part part, OptionalLong baseRevision) {
    /** Room for the first line, which does not count towards the size of the document. */
    private static final int MAX_HEADER_BYTES = 200;

    private static final Pattern HEADER =
            Pattern.compile("\\A\uFEFF?# masticpaddle: team (\\S{1,64}) revision (\\d{1,15})\\R");

    static String header(String team, long revision) {
        return "# masticpaddle: team " + team + " revision " + revision + "\n";
    }

    /** Reads a file. With {@code select}, only the sections of the owner are taken. */
    static PartFile read(String file, String owner, boolean select) {
        final Path path = Path.of(file);
        final byte[] bytes = readBytes(path);
        if (select && bytes.length > DocumentCheck.MAX_BYTES + MAX_HEADER_BYTES) {
            throw new CommandException(
                    ExitCode.NEGATIVE, file + ": expected at most " + DocumentCheck.MAX_BYTES + " bytes");
        }
        final Part whole = DocumentCheck.read(owner, file, bytes);
        final Matcher matcher = HEADER.matcher(whole.text());
        final boolean marked = matcher.find();
        if (marked && !owner.isEmpty() && !matcher.group(1).equals(owner)) {
            throw new CommandException(
                    ExitCode.USAGE, file + " holds the part of team " + matcher.group(1) + ", not of team " + owner);
        }
        // The line becomes an empty one, so that line numbers in problems stay right.
        final String text = marked ? "\n" + whole.text().substring(matcher.end()) : whole.text();
        final String taken = select ? TeamText.split(text).getOrDefault(owner, "") : text;
        return new PartFile(
                path,
                new Part(owner, file, taken),
                marked ? OptionalLong.of(Long.parseLong(matcher.group(2))) : OptionalLong.empty());
    }

    private static byte[] readBytes(Path path) {
        try (InputStream input = Files.newInputStream(path)) {
            return input.readNBytes(DocumentCheck.MAX_BYTES + 2 * MAX_HEADER_BYTES);
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + path + ": " + e.getMessage());
        }
    }

    /** Writes a new revision into the first line if there is one, so that the file can be edited further. */
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
                    "published as revision " + revision + ", but cannot write that into the first line of " + path
                            + ": " + e.getMessage());
        }
    }
}
