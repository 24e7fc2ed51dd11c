package org.masticpaddle.document;

import java.util.Objects;

/**
 * Replacement of one team's part. Immutable and thread-safe.
 *
 * @param editId unique id; a record that repeats it has no effect
 * @param team team whose part is replaced
 * @param baseRevision revision of the part that the text was edited from, 0 if there was none
 * @param text new INI text of the part
 * @param author who published it
 * @param rules number of the rule set that checks the edit
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
