package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/**
 * Latest edits, from the log and the recent outcomes of a snapshot, oldest first. Immutable and thread-safe.
 *
 * @param entries the edits, without duplicate records
 */
public record EditHistory(List<Entry> entries) {
    /** Copies the list. */
    public EditHistory {
        entries = List.copyOf(entries);
    }

    /**
     * Finds an edit.
     *
     * @param editId id of the edit
     * @return the edit, empty if it is unknown or too old
     */
    public Optional<Entry> find(String editId) {
        return entries.stream().filter(entry -> entry.editId().equals(editId)).findFirst();
    }

    static EditHistory of(ConfigurationState state, List<LoggedEdit> logged, List<ApplyResult> results) {
        final Map<String, List<Problem>> problems = new HashMap<>();
        for (final ApplyResult result : results) {
            if (result instanceof ApplyResult.Rejected rejected) {
                problems.putIfAbsent(rejected.edit().editId(), rejected.problems());
            }
        }
        final Map<Long, LoggedEdit> byOffset = new HashMap<>();
        logged.forEach(entry -> byOffset.put(entry.offset(), entry));
        return new EditHistory(state.recentOutcomes().stream()
                .map(outcome -> new Entry(
                        outcome.editId(),
                        outcome.offset(),
                        outcome.team(),
                        outcome.verdict(),
                        Optional.ofNullable(byOffset.get(outcome.offset())),
                        problems.getOrDefault(outcome.editId(), List.of())))
                .toList());
    }

    /**
     * Edit and its outcome. Immutable and thread-safe.
     *
     * @param editId id of the edit
     * @param offset offset of the first record of the edit
     * @param team team of the part
     * @param verdict outcome of the edit
     * @param logged log record of the edit, empty if it has expired
     * @param problems problems found, empty unless the check failed and the record has not expired
     */
    public record Entry(
            String editId,
            long offset,
            String team,
            EditOutcome.Verdict verdict,
            Optional<LoggedEdit> logged,
            List<Problem> problems) {
        /** Checks the arguments and copies the list. */
        public Entry {
            Objects.requireNonNull(editId, "editId is null");
            problems = List.copyOf(problems);
        }
    }

    /**
     * Record of an edit on the log. Immutable and thread-safe.
     *
     * @param offset offset of the record
     * @param timeMillis time of the append, in milliseconds since 1970
     * @param edit decoded content of the record, also if the edit was rejected
     */
    public record LoggedEdit(long offset, long timeMillis, Edit edit) {
        static List<LoggedEdit> fromPage(LogPage page) {
            final List<LoggedEdit> logged = new ArrayList<>();
            for (final LogRecord logRecord : page.records()) {
                ConfigurationRecord.decode(logRecord.data())
                        .filter(Edit.class::isInstance)
                        .map(Edit.class::cast)
                        .ifPresent(
                                edit -> logged.add(new LoggedEdit(logRecord.offset(), logRecord.timeMillis(), edit)));
            }
            return logged;
        }
    }
}
