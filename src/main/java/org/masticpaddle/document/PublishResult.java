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
     * The edit is on the log and took effect.
     *
     * @param editId id of the edit
     * @param revision new revision of the part
     * @param offset offset of the record of the edit
     */
    record Accepted(String editId, long revision, long offset) implements PublishResult {}

    /**
     * The edit is on the log and has no effect.
     *
     * @param editId id of the edit
     * @param verdict reason of the rejection
     * @param problems problems found, empty unless the check failed and this process replayed the record
     */
    record Rejected(String editId, EditOutcome.Verdict verdict, List<Problem> problems) implements PublishResult {
        /** Checks the arguments and copies the list. */
        public Rejected {
            Objects.requireNonNull(verdict, "verdict is null");
            problems = List.copyOf(problems);
        }
    }

    /**
     * The outcome could not be determined in time. The edit may have taken effect, or may still do so.
     *
     * @param editId id of the edit
     * @param reason message of the last error
     */
    record Unknown(String editId, String reason) implements PublishResult {
        /**
         * Returns the command that shows the outcome of the edit.
         *
         * @return command line of the tool
         */
        public String command() {
            return "masticpaddle history --edit " + editId;
        }
    }

    /**
     * The edit is certainly not on the log.
     *
     * @param editId id of the edit
     * @param reason message of the last error
     */
    record NotSent(String editId, String reason) implements PublishResult {}
}
