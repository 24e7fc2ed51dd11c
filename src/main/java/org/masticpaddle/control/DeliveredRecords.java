package org.masticpaddle.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which records of a keyed stream were delivered, and to which history of the stream they belong.
 *
 * <p>Invariants: offsets are compared within the present history only; a key that only an earlier history held is retained until it
 * is written again or {@link #removeRetained} is called. Performs no input or output. Not thread-safe: used on the thread of its
 * owner only.
 */
final class DeliveredRecords {
    private final Map<String, Delivered> newest = new HashMap<>();
    private final Set<String> retained = new HashSet<>();

    /**
     * Returns whether a listed record shows that the history was replaced: in one history, the newest record of a key never
     * changes and never becomes an older one. A record whose offset is not known shows nothing.
     */
    boolean contradictedBy(KeyedRecord listed) {
        final Delivered delivered = newest.get(listed.key());
        return delivered != null
                && listed.offset() != KeyedRecord.UNKNOWN_OFFSET
                && (listed.offset() < delivered.offset
                        || listed.offset() == delivered.offset && Delivered.hash(listed) != delivered.valueHash);
    }

    /** Returns whether neither a record nor a newer one of its key was delivered. */
    boolean isNew(KeyedRecord keyedRecord) {
        final Delivered delivered = newest.get(keyedRecord.key());
        return delivered == null || delivered.offset < keyedRecord.offset();
    }

    /** Records that a new record was delivered. */
    void add(KeyedRecord keyedRecord) {
        retained.remove(keyedRecord.key());
        if (keyedRecord.tombstone()) {
            newest.remove(keyedRecord.key());
        } else {
            newest.put(keyedRecord.key(), new Delivered(keyedRecord.offset(), Delivered.hash(keyedRecord)));
        }
    }

    /** Begins another history, in which no record was delivered yet. */
    void beginHistory() {
        retained.addAll(newest.keySet());
        newest.clear();
    }

    /** Returns the keys of the present history that a complete listing up to an offset lacks. */
    List<String> missingIn(Set<String> listedKeys, long endOffset) {
        return newest.entrySet().stream()
                .filter(delivered ->
                        delivered.getValue().offset < endOffset && !listedKeys.contains(delivered.getKey()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether there are keys that only an earlier history held. */
    boolean retainsKeys() {
        return !retained.isEmpty();
    }

    /** Removes and returns the keys that only an earlier history held. */
    List<String> removeRetained() {
        final List<String> keys = List.copyOf(retained);
        retained.clear();
        return keys;
    }

    private record Delivered(long offset, int valueHash) {
        static int hash(KeyedRecord keyedRecord) {
            return Arrays.hashCode(keyedRecord.value());
        }
    }
}
