package org.masticpaddle.document;

import java.util.Objects;

/**
 * Text of one team's part of the document, or of a file with the parts of several teams. Immutable and thread-safe.
 *
 * @param owner team that publishes the text, empty if the text may contain sections of any team
 * @param file file or team name for problem messages
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
     * Creates the part of one team.
     *
     * @param team team that publishes the text; also its name in problem messages
     * @param text INI text
     * @return part that may contain sections of this team only
     */
    public static Part of(String team, String text) {
        return new Part(team, team, text);
    }
}
