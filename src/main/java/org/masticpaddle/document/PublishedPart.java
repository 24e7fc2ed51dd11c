package org.masticpaddle.document;

import java.util.Objects;

/**
 * Part of one team after the last accepted edit. Immutable and thread-safe.
 *
 * @param team team that published the part
 * @param revision number of accepted edits of the part
 * @param offset log offset of the last accepted edit
 * @param text INI text, empty if the team has withdrawn its part
 */
public record PublishedPart(String team, long revision, long offset, String text) {
    /** Checks the arguments. */
    public PublishedPart {
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(text, "text is null");
    }
}
