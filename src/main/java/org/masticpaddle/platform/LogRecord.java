package org.masticpaddle.platform;

/**
 * Record of a log stream. Effectively immutable: {@code data} is not copied and must not be modified.
 *
 * @param offset position in the stream, ascending without gaps
 * @param timeMillis time of the append by the log's clock, in milliseconds since 1970
 * @param data content of the record
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {}
