package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Response of an entry to {@code GET /internal/configuration?after=OFFSET}: the changes since an offset, so that an
 * edit of one part does not transfer the whole document again. Immutable and thread-safe.
 *
 * @param after offset up to which the requesting process has applied the log, 0 if it has no state
 * @param changes state of the entry, with only the parts and outcomes from {@code after} on
 * @param mark newest snapshot on the log
 * @param ageMillis milliseconds since the entry last read the log to its end, negative if it never did
 */
public record ConfigurationResponse(long after, Snapshot changes, SnapshotMark mark, long ageMillis) {
    /** Checks the arguments. */
    public ConfigurationResponse {
        Objects.requireNonNull(changes, "changes is null");
        Objects.requireNonNull(mark, "mark is null");
    }

    static ConfigurationResponse of(ConfigurationState state, long after, long ageMillis) {
        final Snapshot all = state.snapshot();
        final List<PublishedPart> parts =
                all.parts().stream().filter(part -> part.offset() >= after).toList();
        final List<EditOutcome> recent = all.recent().stream()
                .filter(outcome -> outcome.offset() >= after)
                .toList();
        final Snapshot changes = new Snapshot(all.upTo(), all.revision(), all.rules(), parts, recent);
        return new ConfigurationResponse(after, changes, state.newestSnapshot(), ageMillis);
    }

    /**
     * Returns the state of the entry, computed from an older state and the changes. Empty if the entry is not ahead of
     * the older state or if there is a gap between the two.
     */
    Optional<ConfigurationState> applyTo(ConfigurationState base) {
        if (changes.upTo() <= base.offset() || after > base.offset()) {
            return Optional.empty();
        }
        final Map<String, PublishedPart> parts = new TreeMap<>();
        base.parts().forEach(part -> parts.put(part.team(), part));
        changes.parts().forEach(part -> parts.put(part.team(), part));
        final List<EditOutcome> recent = new ArrayList<>(base.recentOutcomes());
        changes.recent().stream()
                .filter(outcome -> outcome.offset() >= base.offset())
                .forEach(recent::add);
        final int dropped = Math.max(0, recent.size() - ConfigurationState.MAX_RECENT_EDITS);
        final Snapshot merged = new Snapshot(
                changes.upTo(),
                changes.revision(),
                changes.rules(),
                List.copyOf(parts.values()),
                recent.subList(dropped, recent.size()));
        return ConfigurationState.fromSnapshot(merged, mark);
    }
}
