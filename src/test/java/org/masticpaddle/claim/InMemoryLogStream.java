package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.List;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/** In-memory log stream that keeps its whole history and serves the retained records. Not thread-safe. */
final class InMemoryLogStream {
    private final List<LogRecord> history = new ArrayList<>();
    private int earliest;

    long append(List<byte[]> records, long nowMillis) {
        final long first = history.size();
        records.forEach(data -> history.add(new LogRecord(history.size(), nowMillis, data)));
        return first;
    }

    LogPage read(long from, int limit) {
        final int start = (int) Math.min(Math.max(from, earliest), history.size());
        return new LogPage(earliest, history.size(), history.subList(start, Math.min(history.size(), start + limit)));
    }

    void trim(long beforeMillis) {
        while (earliest < history.size() && history.get(earliest).timeMillis() < beforeMillis) {
            earliest++;
        }
    }

    List<LogRecord> history() {
        return history;
    }
}
