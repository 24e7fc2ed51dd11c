package org.masticpaddle.document;

/**
 * What a reader counted beside the document. Not part of a snapshot. Immutable and thread-safe.
 *
 * @param mark newest snapshot
 * @param skipped number of records that were not understood
 * @param outdated whether a record had an unknown rule set
 */
record FoldCounters(SnapshotMark mark, long skipped, boolean outdated) {
    FoldCounters at(long timeMillis) {
        return mark.timeMillis() >= 0
                ? this
                : new FoldCounters(new SnapshotMark(mark.upTo(), timeMillis), skipped, outdated);
    }

    FoldCounters withSnapshot(long upTo, long timeMillis) {
        return upTo < mark.upTo() ? this : new FoldCounters(new SnapshotMark(upTo, timeMillis), skipped, outdated);
    }

    FoldCounters withSkippedRecord() {
        return new FoldCounters(mark, skipped + 1, outdated);
    }

    FoldCounters withUnknownRules() {
        return new FoldCounters(mark, skipped, true);
    }
}
