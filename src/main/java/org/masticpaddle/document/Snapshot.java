package org.masticpaddle.document;

import java.util.List;

/**
 * Snapshot of a {@link ConfigurationState}; a pure function of the prefix of the log that it covers. Immutable and
 * thread-safe.
 *
 * @param upTo offset after the last record of the prefix
 * @param revision number of accepted edits
 * @param rules number of the rule set that checked the last accepted edit
 * @param parts parts ordered by team
 * @param recent outcomes of the latest edits, oldest first
 */
public record Snapshot(long upTo, long revision, int rules, List<PublishedPart> parts, List<EditOutcome> recent)
        implements ConfigurationRecord {
    /** Checks the arguments and copies the lists. */
    public Snapshot {
        parts = List.copyOf(parts);
        recent = List.copyOf(recent);
        for (final PublishedPart part : parts) {
            if (part.offset() >= upTo) {
                throw new IllegalArgumentException("the offset of a part is not below the end of the snapshot");
            }
        }
    }
}
