package org.masticpaddle.platform;

import java.util.List;

/**
 * Page of consecutive records of a log stream. Immutable.
 *
 * @param earliest lowest offset that the log still retains
 * @param end offset that the next appended record will have
 * @param records records in order, starting at the requested offset or at {@code earliest} if that is higher
 */
public record LogPage(long earliest, long end, List<LogRecord> records) {
    /** Makes a defensive copy of the records. */
    public LogPage {
        records = List.copyOf(records);
    }
}
