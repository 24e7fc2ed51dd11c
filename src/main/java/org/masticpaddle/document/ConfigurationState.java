package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.masticpaddle.platform.LogRecord;

/**
 * State after folding a prefix of the log stream {@code configuration}. A pure function of the prefix: all readers that
 * have folded the same records have equal states. Immutable and thread-safe.
 */
public final class ConfigurationState {
    /**
     * Number of edit ids that are remembered. A duplicate that comes later is rejected for its stale base, or
     * considered again if it was rejected; 1,000 edits are more than two hours at 10,000 a day.
     */
    public static final int REMEMBERED_EDITS = 1000;

    private static final ConfigurationState EMPTY = new ConfigurationState(
            0,
            0,
            RuleSet.CURRENT.number(),
            new TreeMap<>(),
            List.of(),
            RoutingDocument.EMPTY,
            new ReplayCounters(SnapshotMark.NONE, 0, false));

    private final long offset;
    private final long revision;
    private final int rules;
    private final SortedMap<String, TeamPart> parts;
    private final List<EditOutcome> recent;
    private final RoutingDocument document;
    private final ReplayCounters counters;

    private ConfigurationState(
            long offset,
            long revision,
            int rules,
            SortedMap<String, TeamPart> parts,
            List<EditOutcome> recent,
            RoutingDocument document,
            ReplayCounters counters) {
        this.offset = offset;
        this.revision = revision;
        this.rules = rules;
        this.parts = parts;
        this.recent = recent;
        this.document = document;
        this.counters = counters;
    }

    /**
     * Returns the state before the first record.
     *
     * @return the state
     */
    public static ConfigurationState empty() {
        return EMPTY;
    }

    /**
     * Restores the state that a snapshot describes.
     *
     * @param snapshot the snapshot
     * @param mark newest snapshot known
     * @return the state, empty if this program does not know the rule set or the document does not pass its check
     */
    public static Optional<ConfigurationState> restore(Snapshot snapshot, SnapshotMark mark) {
        final SortedMap<String, TeamPart> parts = new TreeMap<>();
        snapshot.parts().forEach(part -> parts.put(part.team(), TeamPart.of(part)));
        return RuleSet.of(snapshot.rules())
                .map(rules -> rules.check(parsed(parts)))
                .filter(CheckResult::passed)
                .map(result -> new ConfigurationState(
                        snapshot.upTo(),
                        snapshot.revision(),
                        snapshot.rules(),
                        parts,
                        snapshot.recent(),
                        result.document(),
                        new ReplayCounters(mark, 0, false)));
    }

    /**
     * Applies the next record. A record below {@link #offset()} or above it changes nothing.
     *
     * @param entry the record
     * @return the next state and what was done
     */
    public Transition apply(LogRecord entry) {
        Objects.requireNonNull(entry, "entry is null");
        if (entry.offset() < offset) {
            return new Transition(this, new ApplyResult.Ignored(ApplyResult.Reason.ALREADY_APPLIED));
        }
        if (entry.offset() > offset) {
            return new Transition(this, new ApplyResult.Ignored(ApplyResult.Reason.GAP));
        }
        final ReplayCounters seen = counters.at(entry.timeMillis());
        final Optional<ConfigurationRecord> content = ConfigurationRecord.decode(entry.data());
        if (content.isEmpty()) {
            return ignored(seen.withSkippedRecord(), ApplyResult.Reason.UNDECODABLE);
        }
        if (content.get() instanceof Edit edit) {
            return apply(edit, seen);
        }
        final Snapshot snapshot = (Snapshot) content.get();
        return ignored(seen.withSnapshot(snapshot.upTo(), entry.timeMillis()), ApplyResult.Reason.SNAPSHOT);
    }

    private Transition apply(Edit edit, ReplayCounters seen) {
        if (outcome(edit.editId()).isPresent()) {
            return ignored(seen, ApplyResult.Reason.DUPLICATE_EDIT);
        }
        final Optional<RuleSet> ruleSet = RuleSet.of(edit.rules());
        if (ruleSet.isEmpty()) {
            return rejected(edit, EditOutcome.Verdict.UNKNOWN_RULES, List.of(), seen.withUnknownRules());
        }
        if (edit.baseRevision() != partRevision(edit.team())) {
            return rejected(edit, EditOutcome.Verdict.STALE_BASE, List.of(), seen);
        }
        final long partRevision = edit.baseRevision() + 1;
        final SortedMap<String, TeamPart> next = new TreeMap<>(parts);
        next.put(edit.team(), TeamPart.of(new PublishedPart(edit.team(), partRevision, offset, edit.text())));
        final CheckResult check = ruleSet.get().check(parsed(next));
        if (!check.passed()) {
            return rejected(edit, EditOutcome.Verdict.CHECK_FAILED, check.problems(), seen);
        }
        return new Transition(
                new ConfigurationState(
                        offset + 1,
                        revision + 1,
                        edit.rules(),
                        next,
                        remember(edit, EditOutcome.Verdict.ACCEPTED),
                        check.document(),
                        seen),
                new ApplyResult.Accepted(edit, partRevision));
    }

    private Transition rejected(Edit edit, EditOutcome.Verdict verdict, List<Problem> problems, ReplayCounters seen) {
        return new Transition(
                new ConfigurationState(offset + 1, revision, rules, parts, remember(edit, verdict), document, seen),
                new ApplyResult.Rejected(edit, verdict, partRevision(edit.team()), problems));
    }

    private Transition ignored(ReplayCounters seen, ApplyResult.Reason reason) {
        return new Transition(
                new ConfigurationState(offset + 1, revision, rules, parts, recent, document, seen),
                new ApplyResult.Ignored(reason));
    }

    private List<EditOutcome> remember(Edit edit, EditOutcome.Verdict verdict) {
        final List<EditOutcome> outcomes = new ArrayList<>(recent);
        outcomes.add(new EditOutcome(edit.editId(), offset, edit.team(), verdict));
        return List.copyOf(outcomes.subList(Math.max(0, outcomes.size() - REMEMBERED_EDITS), outcomes.size()));
    }

    /**
     * Returns the offset of the next record. All records below it are folded.
     *
     * @return the offset
     */
    public long offset() {
        return offset;
    }

    /**
     * Returns the number of accepted edits.
     *
     * @return the revision of the whole document
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the document in effect after the prefix.
     *
     * @return the document
     */
    public RoutingDocument document() {
        return document;
    }

    /**
     * Returns the parts.
     *
     * @return parts in order of their team
     */
    public List<PublishedPart> parts() {
        return parts.values().stream().map(TeamPart::published).toList();
    }

    /**
     * Finds the part of a team.
     *
     * @param team the team
     * @return its part
     */
    public Optional<PublishedPart> part(String team) {
        return Optional.ofNullable(parts.get(team)).map(TeamPart::published);
    }

    /**
     * Returns the revision that an edit of a part must name as its base.
     *
     * @param team the team
     * @return the revision, 0 if the team has no part
     */
    public long partRevision(String team) {
        return part(team).map(PublishedPart::revision).orElse(0L);
    }

    /**
     * Returns the latest edits.
     *
     * @return outcomes of at most {@link #REMEMBERED_EDITS} edits, oldest first
     */
    public List<EditOutcome> recent() {
        return recent;
    }

    /**
     * Finds the outcome of a recent edit.
     *
     * @param editId its id
     * @return the outcome
     */
    public Optional<EditOutcome> outcome(String editId) {
        return recent.stream()
                .filter(outcome -> outcome.editId().equals(editId))
                .findFirst();
    }

    /**
     * Returns the number of records that were not understood since this state was restored.
     *
     * @return the number
     */
    public long skippedRecords() {
        return counters.skipped();
    }

    /**
     * Tells whether a record had a rule set that this program does not know. Other readers may know it, so the state
     * may differ from theirs and is passed on to nobody.
     *
     * @return {@code true} if so
     */
    public boolean outdated() {
        return counters.outdated();
    }

    /**
     * Returns the newest snapshot seen.
     *
     * @return the snapshot's place and time
     */
    public SnapshotMark newestSnapshot() {
        return counters.mark();
    }

    /**
     * Describes the state as a snapshot.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        return new Snapshot(offset, revision, rules, parts(), recent);
    }

    private static List<ParsedPart> parsed(SortedMap<String, TeamPart> parts) {
        return parts.values().stream().map(TeamPart::parsed).toList();
    }

    /**
     * Result of applying a record.
     *
     * @param next the next state
     * @param result what was done
     */
    public record Transition(ConfigurationState next, ApplyResult result) {}

    private record TeamPart(PublishedPart published, ParsedPart parsed) {
        static TeamPart of(PublishedPart part) {
            return new TeamPart(part, DocumentCheck.parse(Part.of(part.team(), part.text())));
        }
    }
}
