package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.masticpaddle.platform.LogRecord;

/**
 * State after replaying a prefix of the log stream {@code configuration}. It is a pure function of the prefix: all
 * readers that have applied the same records have equal states. Immutable and thread-safe.
 */
public final class ConfigurationState {
    /**
     * Number of edits whose outcomes are kept to detect duplicates. A duplicate of an older edit is rejected for its
     * stale base, or checked again if it was rejected at first. 1,000 edits cover more than two hours at 10,000 edits a
     * day.
     */
    public static final int MAX_RECENT_EDITS = 1000;

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
    private final List<EditOutcome> recentOutcomes;
    private final RoutingDocument document;
    private final ReplayCounters counters;

    private ConfigurationState(
            long offset,
            long revision,
            int rules,
            SortedMap<String, TeamPart> parts,
            List<EditOutcome> recentOutcomes,
            RoutingDocument document,
            ReplayCounters counters) {
        this.offset = offset;
        this.revision = revision;
        this.rules = rules;
        this.parts = parts;
        this.recentOutcomes = recentOutcomes;
        this.document = document;
        this.counters = counters;
    }

    /**
     * Returns the state before the first record.
     *
     * @return shared instance with offset 0, revision 0 and the empty document
     */
    public static ConfigurationState empty() {
        return EMPTY;
    }

    /**
     * Restores the state that a snapshot describes.
     *
     * @param snapshot snapshot read from the log, or merged from the response of another entry
     * @param newestSnapshot newest snapshot on the log
     * @return the state, empty if the rule set is unknown to this program or the document fails its check
     */
    public static Optional<ConfigurationState> fromSnapshot(Snapshot snapshot, SnapshotMark newestSnapshot) {
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
                        new ReplayCounters(newestSnapshot, 0, false)));
    }

    /**
     * Applies the next record. A record at any other offset than {@link #offset()} is ignored.
     *
     * @param logRecord log record
     * @return the next state and the result
     */
    public Transition apply(LogRecord logRecord) {
        Objects.requireNonNull(logRecord, "logRecord is null");
        if (logRecord.offset() < offset) {
            return new Transition(this, new ApplyResult.Ignored(ApplyResult.Reason.ALREADY_APPLIED));
        }
        if (logRecord.offset() > offset) {
            return new Transition(this, new ApplyResult.Ignored(ApplyResult.Reason.GAP));
        }
        final ReplayCounters nextCounters = counters.withFirstRecordAt(logRecord.timeMillis());
        final Optional<ConfigurationRecord> content = ConfigurationRecord.decode(logRecord.data());
        if (content.isEmpty()) {
            return ignored(nextCounters.withSkippedRecord(), ApplyResult.Reason.UNDECODABLE);
        }
        if (content.get() instanceof Edit edit) {
            return apply(edit, nextCounters);
        }
        final Snapshot snapshot = (Snapshot) content.get();
        return ignored(nextCounters.withSnapshot(snapshot.upTo(), logRecord.timeMillis()), ApplyResult.Reason.SNAPSHOT);
    }

    private Transition apply(Edit edit, ReplayCounters nextCounters) {
        if (outcome(edit.editId()).isPresent()) {
            return ignored(nextCounters, ApplyResult.Reason.DUPLICATE_EDIT);
        }
        final Optional<RuleSet> ruleSet = RuleSet.of(edit.rules());
        if (ruleSet.isEmpty()) {
            return rejected(edit, EditOutcome.Verdict.UNKNOWN_RULES, List.of(), nextCounters.withUnknownRules());
        }
        if (edit.baseRevision() != partRevision(edit.team())) {
            return rejected(edit, EditOutcome.Verdict.STALE_BASE, List.of(), nextCounters);
        }
        final long partRevision = edit.baseRevision() + 1;
        final SortedMap<String, TeamPart> next = new TreeMap<>(parts);
        next.put(edit.team(), TeamPart.of(new PublishedPart(edit.team(), partRevision, offset, edit.text())));
        final CheckResult check = ruleSet.get().check(parsed(next));
        if (!check.passed()) {
            return rejected(edit, EditOutcome.Verdict.CHECK_FAILED, check.problems(), nextCounters);
        }
        return new Transition(
                new ConfigurationState(
                        offset + 1,
                        revision + 1,
                        edit.rules(),
                        next,
                        addOutcome(edit, EditOutcome.Verdict.ACCEPTED),
                        check.document(),
                        nextCounters),
                new ApplyResult.Accepted(edit, partRevision));
    }

    private Transition rejected(
            Edit edit, EditOutcome.Verdict verdict, List<Problem> problems, ReplayCounters nextCounters) {
        return new Transition(
                new ConfigurationState(
                        offset + 1, revision, rules, parts, addOutcome(edit, verdict), document, nextCounters),
                new ApplyResult.Rejected(edit, verdict, partRevision(edit.team()), problems));
    }

    private Transition ignored(ReplayCounters nextCounters, ApplyResult.Reason reason) {
        return new Transition(
                new ConfigurationState(offset + 1, revision, rules, parts, recentOutcomes, document, nextCounters),
                new ApplyResult.Ignored(reason));
    }

    private List<EditOutcome> addOutcome(Edit edit, EditOutcome.Verdict verdict) {
        final List<EditOutcome> outcomes = new ArrayList<>(recentOutcomes);
        outcomes.add(new EditOutcome(edit.editId(), offset, edit.team(), verdict));
        return List.copyOf(outcomes.subList(Math.max(0, outcomes.size() - MAX_RECENT_EDITS), outcomes.size()));
    }

    /**
     * Returns the offset of the next record to apply. All records below it have been applied.
     *
     * @return offset in the stream, 0 before the first record
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
     * Returns the document in effect at this state.
     *
     * @return checked document, which declares nothing until an edit is accepted
     */
    public RoutingDocument document() {
        return document;
    }

    /**
     * Returns the parts of all teams.
     *
     * @return parts ordered by team
     */
    public List<PublishedPart> parts() {
        return parts.values().stream().map(TeamPart::published).toList();
    }

    /**
     * Finds the part of a team.
     *
     * @param team name of the team that publishes the part
     * @return the part, empty if the team never published one
     */
    public Optional<PublishedPart> part(String team) {
        return Optional.ofNullable(parts.get(team)).map(TeamPart::published);
    }

    /**
     * Returns the revision that an edit of a part must name as its base.
     *
     * @param team name of the team whose part is edited
     * @return the revision, 0 if the team has no part
     */
    public long partRevision(String team) {
        return part(team).map(PublishedPart::revision).orElse(0L);
    }

    /**
     * Returns the outcomes of the latest edits.
     *
     * @return outcomes of at most {@link #MAX_RECENT_EDITS} edits, oldest first
     */
    public List<EditOutcome> recentOutcomes() {
        return recentOutcomes;
    }

    /**
     * Finds the outcome of a recent edit.
     *
     * @param editId id of the edit
     * @return the outcome, empty if the edit is unknown or too old
     */
    public Optional<EditOutcome> outcome(String editId) {
        return recentOutcomes.stream()
                .filter(outcome -> outcome.editId().equals(editId))
                .findFirst();
    }

    /**
     * Returns the number of records that could not be decoded since the state was restored.
     *
     * @return number of skipped records
     */
    public long skippedRecords() {
        return counters.skippedRecords();
    }

    /**
     * Returns whether an edit used a rule set that is unknown to this program. Newer programs may support it, so the
     * state may differ from theirs and must not be passed on.
     *
     * @return {@code true} if an edit used an unknown rule set
     */
    public boolean unknownRulesSeen() {
        return counters.unknownRulesSeen();
    }

    /**
     * Returns the newest snapshot on the log.
     *
     * @return offset and time of the snapshot
     */
    public SnapshotMark newestSnapshot() {
        return counters.newestSnapshot();
    }

    /**
     * Creates a snapshot from which the state can be restored.
     *
     * @return new snapshot that covers all records below {@link #offset()}
     */
    public Snapshot snapshot() {
        return new Snapshot(offset, revision, rules, parts(), recentOutcomes);
    }

    private static List<ParsedPart> parsed(SortedMap<String, TeamPart> parts) {
        return parts.values().stream().map(TeamPart::parsed).toList();
    }

    /**
     * Result of applying a record.
     *
     * @param next state after the record
     * @param result effect of the record
     */
    public record Transition(ConfigurationState next, ApplyResult result) {}

    private record TeamPart(PublishedPart published, ParsedPart parsed) {
        static TeamPart of(PublishedPart part) {
            return new TeamPart(part, DocumentCheck.parse(Part.of(part.team(), part.text())));
        }
    }
}
