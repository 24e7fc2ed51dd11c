package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Answer of an entry to {@code GET /internal/configuration?after=OFFSET}: what changed since an offset, so that an edit
 * of one part does not send the whole document again. Immutable and thread-safe.
 *
 * @param after offset that the asker has folded up to, 0 for none
 * @param changes state of the entry, with the parts and outcomes from {@code after} on only
 * @param mark newest snapshot on the log
 * @param ageMillis time since the entry last read the log to its end, in milliseconds; negative if it never did
 */
public record ConfigurationResponse(long after, Snapshot changes, SnapshotMark mark, long ageMillis) {
    /** Checks the arguments. */
    public ConfigurationResponse {
        Objects.requireNonNull(changes, "changes is null");
        Objects.requireNonNull(mark, "mark is null");
    }

    static ConfigurationResponse of(ConfigurationState fold, long after, long ageMillis) {
        final Snapshot all = fold.snapshot();
        final List<PublishedPart> parts =
                all.parts().stream().filter(part -> part.offset() >= after).toList();
        final List<EditOutcome> recent = all.recent().stream()
                .filter(outcome -> outcome.offset() >= after)
                .toList();
        final Snapshot changes = new Snapshot(all.upTo(), all.revision(), all.rules(), parts, recent);
        return new ConfigurationResponse(after, changes, fold.newestSnapshot(), ageMillis);
    }

    /** Returns the state of the entry, empty if it is not ahead of a given one or does not join up with it. */
    Optional<ConfigurationState> applyTo(ConfigurationState base) {
        if (changes.upTo() <= base.offset() || after > base.offset()) {
            return Optional.empty();
        }
        final Map<String, PublishedPart> parts = new TreeMap<>();
        base.parts().forEach(part -> parts.put(part.team(), part));
        changes.parts().forEach(part -> parts.put(part.team(), part));
        final List<EditOutcome> recent = new ArrayList<>(base.recent());
        changes.recent().stream()
                .filter(outcome -> outcome.offset() >= base.offset())
                .forEach(recent::add);
        final int forgotten = Math.max(0, recent.size() - ConfigurationState.REMEMBERED_EDITS);
        final Snapshot merged = new Snapshot(
                changes.upTo(),
                changes.revision(),
                changes.rules(),
                List.copyOf(parts.values()),
                recent.subList(forgotten, recent.size()));
        return ConfigurationState.restore(merged, mark);
    }
}
