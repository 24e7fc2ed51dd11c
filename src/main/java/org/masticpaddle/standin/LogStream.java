package org.masticpaddle.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/** Retained records, journal and waiting long polls of one log stream. Thread-safe. */
final class LogStream {
    private static final int MAX_JOURNAL_RECORDS = 1_000_000;

    private final int retainedRecords;
    private final long retentionMillis;
    private final Deque<LogRecord> journal = new ArrayDeque<>();
    private final List<Runnable> waitingReaders = new ArrayList<>();
    private List<LogRecord> records = new ArrayList<>();
    private long earliest;
    private long end;

    LogStream(int retainedRecords, long retentionMillis) {
        this.retainedRecords = retainedRecords;
        this.retentionMillis = retentionMillis;
    }

    synchronized long append(List<byte[]> contents, long nowMillis) {
        final long first = end;
        for (final byte[] content : contents) {
            final LogRecord entry = new LogRecord(end++, nowMillis, content);
            records.add(entry);
            journal.add(entry);
            if (journal.size() > MAX_JOURNAL_RECORDS) {
                journal.removeFirst();
            }
        }
        if (end - earliest > retainedRecords) {
            dropBefore(end - retainedRecords);
        }
        return first;
    }

    synchronized LogPage page(long from, int limit, long nowMillis) {
        removeExpired(nowMillis);
        final int skip = (int) Math.max(0, Math.min(from - earliest, end - earliest));
        final int base = (int) (records.size() - (end - earliest)) + skip;
        final int last = Math.min(records.size(), base + limit);
        return new LogPage(earliest, end, records.subList(base, last));
    }

    private void removeExpired(long nowMillis) {
        final int base = (int) (records.size() - (end - earliest));
        int index = base;
        while (index < records.size() && records.get(index).timeMillis() < nowMillis - retentionMillis) {
            index++;
        }
        dropBefore(earliest + index - base);
    }

    synchronized void dropBefore(long offset) {
        earliest = Math.min(end, Math.max(earliest, offset));
        final int live = (int) (end - earliest);
        // Compacts the list only when more than half of it is dropped, for an amortised constant cost of an append.
        if (records.size() > 2 * live + 16) {
            records = new ArrayList<>(records.subList(records.size() - live, records.size()));
        }
    }

    synchronized long end() {
        return end;
    }

    synchronized List<LogRecord> journal() {
        return List.copyOf(journal);
    }

    synchronized void addWaitingReader(Runnable reader) {
        waitingReaders.add(reader);
    }

    synchronized boolean removeWaitingReader(Runnable reader) {
        return waitingReaders.remove(reader);
    }

    synchronized List<Runnable> drainWaitingReaders() {
        final List<Runnable> taken = List.copyOf(waitingReaders);
        waitingReaders.clear();
        return taken;
    }
}
