package org.masticpaddle.platform;

/**
 * One record of a log stream. Immutable, but for the data's bytes, which nobody changes.
 *
 * @param offset position in the stream, ascending without gaps
 * @param timeMillis time of the append by the log's clock, in milliseconds since 1970
 * @param data content
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {}
