package org.masticpaddle.document;

/**
 * What a reader counted beside the document. Not part of a snapshot. Immutable and thread-safe.
 *
 * @param mark newest snapshot
 * @param skipped number of records that were not understood
 * @param outdated whether a record had an unknown rule set
 */
record ReplayCounters(SnapshotMark mark, long skipped, boolean outdated) {
    ReplayCounters at(long timeMillis) {
        return mark.timeMillis() >= 0
                ? this
                : new ReplayCounters(new SnapshotMark(mark.upTo(), timeMillis), skipped, outdated);
    }

    ReplayCounters withSnapshot(long upTo, long timeMillis) {
        return upTo < mark.upTo() ? this : new ReplayCounters(new SnapshotMark(upTo, timeMillis), skipped, outdated);
    }

    ReplayCounters withSkippedRecord() {
        return new ReplayCounters(mark, skipped + 1, outdated);
    }

    ReplayCounters withUnknownRules() {
        return new ReplayCounters(mark, skipped, true);
    }
}
