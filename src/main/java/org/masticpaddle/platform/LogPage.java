package org.masticpaddle.platform;

import java.util.List;

/**
 * Consecutive records of a log stream. Immutable.
 *
 * @param earliest lowest offset that the log still keeps
 * @param end offset that the next append gets
 * @param records records from the requested offset on, or from {@code earliest} if that is higher
 */
public record LogPage(long earliest, long end, List<LogRecord> records) {
    /** Copies the records. */
    public LogPage {
        records = List.copyOf(records);
    }
}
