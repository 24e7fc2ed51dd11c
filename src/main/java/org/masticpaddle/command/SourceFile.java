package org.masticpaddle.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Objects;

/**
 * Content of a file that is checked. Immutable by convention: the array is not copied and must not be changed.
 *
 * @param name path of the file as given, or the address that the content was read from
 * @param content content of the file
 */
record SourceFile(String name, byte[] content) {
    /** Largest file that is read, far above the size of any record that a platform's store accepts. */
    static final int MAX_BYTES = 64 * 1024 * 1024;

    SourceFile {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(content, "content is null");
    }

    /** Reads a file. Throws {@link CommandException} if it cannot be read or is too large. */
    static SourceFile read(String file) {
        try (InputStream input = Files.newInputStream(Path.of(file))) {
            final byte[] content = input.readNBytes(MAX_BYTES + 1);
            if (content.length > MAX_BYTES) {
                throw new CommandException(ExitCode.NEGATIVE, file + ": expected at most " + MAX_BYTES + " bytes");
            }
            return new SourceFile(file, content);
        } catch (IOException | InvalidPathException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + file + ": " + e.getMessage());
        }
    }
}
