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
 * Edits that the log still holds or that a snapshot remembers, oldest first. Immutable and thread-safe.
 *
 * @param entries the edits; a duplicated record is not listed
 */
public record EditHistory(List<Entry> entries) {
    /** Copies the list. */
    public EditHistory {
        entries = List.copyOf(entries);
    }

    /**
     * Finds an edit.
     *
     * @param editId its id
     * @return the edit
     */
    public Optional<Entry> find(String editId) {
        return entries.stream().filter(entry -> entry.editId().equals(editId)).findFirst();
    }

    static EditHistory of(ConfigurationState fold, List<LoggedEdit> logged, List<ApplyResult> results) {
        final Map<String, List<Problem>> problems = new HashMap<>();
        for (final ApplyResult result : results) {
            if (result instanceof ApplyResult.Rejected rejected) {
                problems.putIfAbsent(rejected.edit().editId(), rejected.problems());
            }
        }
        final Map<Long, LoggedEdit> byOffset = new HashMap<>();
        logged.forEach(entry -> byOffset.put(entry.offset(), entry));
        return new EditHistory(fold.recent().stream()
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
     * One edit. Immutable and thread-safe.
     *
     * @param editId its id
     * @param offset offset of its first record
     * @param team team of the part
     * @param verdict decision of the fold
     * @param logged its record, empty if that has expired
     * @param problems mistakes, if the check failed and the record has not expired
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
     * @param offset its offset
     * @param timeMillis time of the append, in milliseconds since 1970
     * @param edit the edit
     */
    public record LoggedEdit(long offset, long timeMillis, Edit edit) {
        static List<LoggedEdit> of(LogPage page) {
            final List<LoggedEdit> logged = new ArrayList<>();
            for (final LogRecord entry : page.records()) {
                ConfigurationRecord.decode(entry.data())
                        .filter(Edit.class::isInstance)
                        .map(Edit.class::cast)
                        .ifPresent(edit -> logged.add(new LoggedEdit(entry.offset(), entry.timeMillis(), edit)));
            }
            return logged;
        }
    }
}
