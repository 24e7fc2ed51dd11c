package org.masticpaddle.document;

import java.util.Objects;

/**
 * Replacement of one team's part. Immutable and thread-safe.
 *
 * @param editId unique id; later records with the same id are ignored
 * @param team team whose part is replaced
 * @param baseRevision revision of the part on which the text is based, 0 if there was none
 * @param text new INI text of the whole part
 * @param author author of the edit as given to the publisher
 * @param rules number of the rule set by which the edit is checked
 */
public record Edit(String editId, String team, long baseRevision, String text, String author, int rules)
        implements ConfigurationRecord {
    /** Checks the arguments. */
    public Edit {
        Objects.requireNonNull(editId, "editId is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(text, "text is null");
        Objects.requireNonNull(author, "author is null");
    }
}
