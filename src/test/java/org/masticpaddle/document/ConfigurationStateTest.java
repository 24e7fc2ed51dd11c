package org.masticpaddle.document;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against edits that take effect out of order, and against readers whose states differ after the same records.
 */
class ConfigurationStateTest {
    private static final String PART_TEXT = "[team a]\n";
    private ConfigurationState state = ConfigurationState.empty();

    @Test
    void shouldDecideOnEditsInLogOrder() {
        assertThat(apply(edit("1", 0, PART_TEXT))).isInstanceOf(ApplyResult.Accepted.class);
        assertThat(verdict(apply(edit("2", 0, PART_TEXT)))).isEqualTo(EditOutcome.Verdict.STALE_BASE);
        assertThat(verdict(apply(edit("3", 1, "[team b]\n")))).isEqualTo(EditOutcome.Verdict.CHECK_FAILED);
        assertThat(verdict(apply(new Edit("4", "a", 1, PART_TEXT, "", 99))))
                .isEqualTo(EditOutcome.Verdict.UNKNOWN_RULES);
        assertThat(apply(edit("1", 1, PART_TEXT))).isEqualTo(ignored(ApplyResult.Reason.DUPLICATE_EDIT));
        assertThat(apply(edit("3", 1, PART_TEXT))).isEqualTo(ignored(ApplyResult.Reason.DUPLICATE_EDIT));
        assertThat(state.partRevision("a")).isEqualTo(1);
        assertThat(state.offset()).isEqualTo(6);
        assertThat(state.unknownRulesSeen()).isTrue();
    }

    @Test
    void shouldSkipAndCountUndecodableRecords() {
        for (final String data : List.of(
                "",
                "null",
                "{",
                "[]",
                "{\"type\":\"other\"}",
                "{\"type\":\"edit\"}",
                "{\"type\":\"snapshot\",\"upTo\":3}")) {
            final LogRecord logRecord = new LogRecord(state.offset(), 1, data.getBytes(StandardCharsets.UTF_8));
            final ConfigurationState.Transition transition = state.apply(logRecord);
            assertThat(transition.result()).isEqualTo(ignored(ApplyResult.Reason.UNDECODABLE));
            state = transition.next();
        }
        assertThat(state.skippedRecords()).isEqualTo(7);
    }

    @Test
    void shouldIgnoreRecordsOutOfOrder() {
        apply(edit("1", 0, PART_TEXT));
        final LogRecord old = new LogRecord(0, 1, edit("2", 1, PART_TEXT).encode());
        final LogRecord future = new LogRecord(2, 1, edit("2", 1, PART_TEXT).encode());
        assertThat(state.apply(old).next()).isSameInstanceAs(state);
        assertThat(state.apply(old).result()).isEqualTo(ignored(ApplyResult.Reason.ALREADY_APPLIED));
        assertThat(state.apply(future).next()).isSameInstanceAs(state);
        assertThat(state.apply(future).result()).isEqualTo(ignored(ApplyResult.Reason.GAP));
    }

    @Test
    void shouldStartFromTheFirstSnapshotFollowedByAllRecords() {
        apply(edit("1", 0, PART_TEXT));
        final Snapshot tooOld = state.snapshot();
        apply(edit("2", 1, PART_TEXT + "contact = x\n"));
        final Snapshot usable = state.snapshot();
        final LogFollower follower = new LogFollower();
        follower.applyPage(new LogPage(2, 5, List.of(logRecord(2, tooOld), logRecord(3, usable))));
        assertThat(follower.state().map(ConfigurationState::revision)).isEqualTo(Optional.of(2L));
        assertThat(follower.nextOffset()).isEqualTo(4);
        assertThat(follower.caughtUp()).isFalse();
        follower.applyPage(new LogPage(2, 5, List.of(logRecord(4, edit("2", 2, PART_TEXT)))));
        assertThat(follower.caughtUp()).isTrue();
        assertThat(follower.state().orElseThrow().partRevision("a")).isEqualTo(2);
    }

    @Test
    void shouldHaveNoStateAfterAGapWithoutASnapshot() {
        final LogFollower follower = new LogFollower();
        follower.applyPage(new LogPage(2, 3, List.of(logRecord(2, edit("2", 0, PART_TEXT)))));
        assertThat(follower.state().isPresent()).isFalse();
        assertThat(follower.caughtUp()).isFalse();
    }

    @Test
    void shouldScheduleSnapshotsByAgeOrNumberOfEditsInRendezvousOrder() {
        final SnapshotSchedule schedule = SnapshotSchedule.of(Duration.ofSeconds(900));
        assertThat(schedule.due(state, Long.MAX_VALUE, 0)).isFalse();
        apply(edit("0", 0, PART_TEXT));
        assertThat(schedule.due(state, 300_000, 0)).isFalse();
        assertThat(schedule.due(state, 300_001, 0)).isTrue();
        assertThat(schedule.due(state, 300_001, 1)).isFalse();
        assertThat(schedule.due(state, 600_001, 10_000)).isTrue();
        for (int i = 1; i < 500; i++) {
            assertThat(schedule.due(state, 1, 0)).isFalse();
            apply(edit("" + i, 0, PART_TEXT));
        }
        assertThat(schedule.due(state, 1, 0)).isTrue();
        assertThat(schedule.due(state, 1, 1)).isFalse();
        apply(state.snapshot());
        assertThat(schedule.due(state, 300_000, 0)).isFalse();
        final List<String> entries = List.of("x", "y", "z");
        assertThat(entries.stream().map(entry -> SnapshotSchedule.position(state.newestSnapshot(), entry, entries)))
                .containsExactly(0, 1, 2);
    }

    private ApplyResult apply(ConfigurationRecord record) {
        final ConfigurationState.Transition transition = state.apply(logRecord(state.offset(), record));
        state = transition.next();
        return transition.result();
    }

    private static LogRecord logRecord(long offset, ConfigurationRecord record) {
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
