package org.masticpaddle.control;

/**
 * Place of a record in a stream. Immutable.
 *
 * @param era history that the offset belongs to, {@link SharedLog#NO_ERA} if the log names none
 * @param offset offset in the stream
 */
public record LogPosition(long era, long offset) {}
