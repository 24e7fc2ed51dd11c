package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.List;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/** In-memory log stream that keeps its whole history and serves the retained records. Not thread-safe. */
final class InMemoryLogStream {
    private final List<LogRecord> history = new ArrayList<>();
    private int earliestOffset;

    long append(List<byte[]> records, long nowMillis) {
        final long first = history.size();
        records.forEach(data -> history.add(new LogRecord(history.size(), nowMillis, data)));
        return first;
    }

    LogPage read(long from, int limit) {
        final int start = (int) Math.min(Math.max(from, earliestOffset), history.size());
        return new LogPage(
                earliestOffset, history.size(), history.subList(start, Math.min(history.size(), start + limit)));
    }

    void trim(long beforeMillis) {
        while (earliestOffset < history.size() && history.get(earliestOffset).timeMillis() < beforeMillis) {
            earliestOffset++;
        }
    }

    List<LogRecord> history() {
        return history;
    }
}
