package org.masticpaddle.document;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an edit that takes effect out of turn, and against readers that disagree on a record. */
class ConfigurationStateTest {
    private static final String TEXT = "[team a]\n";
    private ConfigurationState fold = ConfigurationState.empty();

    @Test
    void shouldDecideOnEditsInLogOrder() {
        assertThat(apply(edit("1", 0, TEXT))).isInstanceOf(ApplyResult.Accepted.class);
        assertThat(verdict(apply(edit("2", 0, TEXT)))).isEqualTo(EditOutcome.Verdict.STALE_BASE);
        assertThat(verdict(apply(edit("3", 1, "[team b]\n")))).isEqualTo(EditOutcome.Verdict.CHECK_FAILED);
        assertThat(verdict(apply(new Edit("4", "a", 1, TEXT, "", 99)))).isEqualTo(EditOutcome.Verdict.UNKNOWN_RULES);
        assertThat(apply(edit("1", 1, TEXT))).isEqualTo(ignored(ApplyResult.Reason.DUPLICATE_EDIT));
        assertThat(apply(edit("3", 1, TEXT))).isEqualTo(ignored(ApplyResult.Reason.DUPLICATE_EDIT));
        assertThat(fold.partRevision("a")).isEqualTo(1);
        assertThat(fold.offset()).isEqualTo(6);
        assertThat(fold.outdated()).isTrue();
    }

    @Test
    void shouldSkipAndCountWhatItCannotDecode() {
        for (final String data : List.of(
                "",
                "null",
                "{",
                "[]",
                "{\"type\":\"other\"}",
                "{\"type\":\"edit\"}",
                "{\"type\":\"snapshot\",\"upTo\":3}")) {
            final LogRecord entry = new LogRecord(fold.offset(), 1, data.getBytes(StandardCharsets.UTF_8));
            final ConfigurationState.Transition step = fold.apply(entry);
            assertThat(step.result()).isEqualTo(ignored(ApplyResult.Reason.UNDECODABLE));
            fold = step.next();
        }
        assertThat(fold.skippedRecords()).isEqualTo(7);
    }

    @Test
    void shouldStayAtItsOffsetForRecordsOutOfTurn() {
        apply(edit("1", 0, TEXT));
        final LogRecord old = new LogRecord(0, 1, edit("2", 1, TEXT).encode());
        final LogRecord future = new LogRecord(2, 1, edit("2", 1, TEXT).encode());
        assertThat(fold.apply(old).next()).isSameInstanceAs(fold);
        assertThat(fold.apply(old).result()).isEqualTo(ignored(ApplyResult.Reason.ALREADY_APPLIED));
        assertThat(fold.apply(future).next()).isSameInstanceAs(fold);
        assertThat(fold.apply(future).result()).isEqualTo(ignored(ApplyResult.Reason.GAP));
    }

    @Test
    void shouldStartFromTheFirstSnapshotThatIsNotBelowTheEarliestRecord() {
        apply(edit("1", 0, TEXT));
        final Snapshot tooOld = fold.snapshot();
        apply(edit("2", 1, TEXT + "contact = x\n"));
        final Snapshot usable = fold.snapshot();
        final LogFollower follower = new LogFollower();
        follower.accept(new LogPage(2, 5, List.of(entry(2, tooOld), entry(3, usable))));
        assertThat(follower.fold().map(ConfigurationState::revision)).isEqualTo(Optional.of(2L));
        assertThat(follower.readFrom()).isEqualTo(4);
        assertThat(follower.complete()).isFalse();
        follower.accept(new LogPage(2, 5, List.of(entry(4, edit("2", 2, TEXT)))));
        assertThat(follower.complete()).isTrue();
        assertThat(follower.fold().orElseThrow().partRevision("a")).isEqualTo(2);
    }

    @Test
    void shouldNotAnswerFromARecordGapWithoutASnapshot() {
        final LogFollower follower = new LogFollower();
        follower.accept(new LogPage(2, 3, List.of(entry(2, edit("2", 0, TEXT)))));
        assertThat(follower.fold().isPresent()).isFalse();
        assertThat(follower.complete()).isFalse();
    }

    @Test
    void shouldWriteASnapshotByAgeOrNumberOfEditsInRendezvousOrder() {
        final SnapshotSchedule schedule = SnapshotSchedule.of(Duration.ofSeconds(900));
        assertThat(schedule.due(fold, Long.MAX_VALUE, 0)).isFalse();
        apply(edit("0", 0, TEXT));
        assertThat(schedule.due(fold, 300_000, 0)).isFalse();
        assertThat(schedule.due(fold, 300_001, 0)).isTrue();
        assertThat(schedule.due(fold, 300_001, 1)).isFalse();
        assertThat(schedule.due(fold, 600_001, 10_000)).isTrue();
        for (int i = 1; i < 500; i++) {
            assertThat(schedule.due(fold, 1, 0)).isFalse();
            apply(edit("" + i, 0, TEXT));
        }
        assertThat(schedule.due(fold, 1, 0)).isTrue();
        assertThat(schedule.due(fold, 1, 1)).isFalse();
        apply(fold.snapshot());
        assertThat(schedule.due(fold, 300_000, 0)).isFalse();
        final List<String> entries = List.of("x", "y", "z");
        assertThat(entries.stream().map(entry -> SnapshotSchedule.rank(fold.newestSnapshot(), entry, entries)))
                .containsExactly(0, 1, 2);
    }

    private ApplyResult apply(ConfigurationRecord record) {
        final ConfigurationState.Transition step = fold.apply(entry(fold.offset(), record));
        fold = step.next();
        return step.result();
    }

    private static LogRecord entry(long offset, ConfigurationRecord record) {
        return new LogRecord(offset, 1, record.encode());
    }

    private static Edit edit(String id, long base, String text) {
        return new Edit(id, "a", base, text, "someone", 1);
    }

    private static EditOutcome.Verdict verdict(ApplyResult result) {
        return ((ApplyResult.Rejected) result).verdict();
    }

    private static ApplyResult ignored(ApplyResult.Reason reason) {
        return new ApplyResult.Ignored(reason);
    }
}
