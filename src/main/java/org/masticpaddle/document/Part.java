package org.masticpaddle.document;

import java.util.Objects;

/**
 * Text of one team's part of the document, or of a file with the parts of several teams. Immutable and thread-safe.
 *
 * @param owner team that publishes the text, empty if the text may hold the sections of any team
 * @param file name of the text in problems
 * @param text INI text
 */
public record Part(String owner, String file, String text) {
    /** Checks the arguments. */
    public Part {
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(file, "file is null");
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Returns a part as a team publishes it.
     *
     * @param team the team
     * @param text its text
     * @return the part
     */
    public static Part of(String team, String text) {
        return new Part(team, team, text);
    }
}
