package org.masticpaddle.document;

import java.util.List;
import java.util.Objects;

/** Result of publishing an edit. Immutable and thread-safe. */
public sealed interface PublishResult {
    /**
     * Returns the id of the edit.
     *
     * @return the id
     */
    String editId();

    /**
     * The edit is on the log and in effect.
     *
     * @param editId id of the edit
     * @param revision new revision of the part
     * @param offset offset of the edit
     */
    record Accepted(String editId, long revision, long offset) implements PublishResult {}

    /**
     * The edit is on the log and has no effect.
     *
     * @param editId id of the edit
     * @param verdict the reason
     * @param problems mistakes, if the check failed and the edit was read in this process
     */
    record Rejected(String editId, EditOutcome.Verdict verdict, List<Problem> problems) implements PublishResult {
        /** Checks the arguments and copies the list. */
        public Rejected {
            Objects.requireNonNull(verdict, "verdict is null");
            problems = List.copyOf(problems);
        }
    }

    /**
     * The log gave no answer in time; the edit may take effect, now or later.
     *
     * @param editId id of the edit
     * @param reason what failed last
     */
    record Unknown(String editId, String reason) implements PublishResult {
        /**
         * Tells how to find out.
         *
         * @return command of the tool
         */
        public String command() {
            return "masticpaddle history --edit " + editId;
        }
    }

    /**
     * The edit is provably not on the log.
     *
     * @param editId id of the edit
     * @param reason what failed
     */
    record NotSent(String editId, String reason) implements PublishResult {}
}
