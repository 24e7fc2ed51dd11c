package org.masticpaddle.document;

/**
 * State of a replay that is not part of a snapshot. Immutable and thread-safe.
 *
 * @param newestSnapshot offset and time of the newest snapshot on the log
 * @param skippedRecords number of records that could not be decoded
 * @param unknownRulesSeen whether an edit used a rule set that is unknown to this program
 */
record ReplayCounters(SnapshotMark newestSnapshot, long skippedRecords, boolean unknownRulesSeen) {
    ReplayCounters withFirstRecordAt(long timeMillis) {
        return newestSnapshot.timeMillis() >= 0
                ? this
                : new ReplayCounters(
                        new SnapshotMark(newestSnapshot.upTo(), timeMillis), skippedRecords, unknownRulesSeen);
    }

    ReplayCounters withSnapshot(long upTo, long timeMillis) {
        return upTo < newestSnapshot.upTo()
                ? this
                : new ReplayCounters(new SnapshotMark(upTo, timeMillis), skippedRecords, unknownRulesSeen);
    }

    ReplayCounters withSkippedRecord() {
        return new ReplayCounters(newestSnapshot, skippedRecords + 1, unknownRulesSeen);
    }

    ReplayCounters withUnknownRules() {
        return new ReplayCounters(newestSnapshot, skippedRecords, true);
    }
}
