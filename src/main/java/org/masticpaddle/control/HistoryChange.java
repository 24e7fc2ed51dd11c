package org.masticpaddle.control;

/**
 * Replacement of the history of a stream, because the log was restored from a copy. Immutable.
 *
 * @param eraBefore era of the records that were read before, {@link SharedLog#NO_ERA} if the log named none
 * @param era era of the records from now on
 * @param positionBefore offset that would have been read next
 * @param endOffset offset at which the restored stream ends
 */
public record HistoryChange(long eraBefore, long era, long positionBefore, long endOffset) {}
