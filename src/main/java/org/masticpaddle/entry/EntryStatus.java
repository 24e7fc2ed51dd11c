package org.masticpaddle.entry;

/**
 * What an entry has in effect, for the command {@code status}. Immutable.
 *
 * @param instance identifier of the instance
 * @param ready whether it takes requests
 * @param offset offset of the log below which all records are folded, -1 if none
 * @param revision revision of the document in effect
 * @param sinceMillis time from which it is in effect here, in milliseconds since 1970
 * @param tailAgeMillis time since the log was last read to its end, -1 if never
 */
public record EntryStatus(
        String instance, boolean ready, long offset, long revision, long sinceMillis, long tailAgeMillis) {}
