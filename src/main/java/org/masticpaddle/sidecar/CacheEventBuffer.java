package org.masticpaddle.sidecar;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.masticpaddle.platform.EngineControl.CacheEvent;

/**
 * Buffer of the engine's newest cache events, which entries poll. Dropped events appear to entries as gaps in the
 * sequence. Thread-safe.
 */
final class CacheEventBuffer {
    private static final int MAX_EVENTS = 4_096;

    private final Deque<CacheEvent> events = new ArrayDeque<>();

    synchronized void add(List<CacheEvent> newer) {
        for (final CacheEvent event : newer) {
            if (event.sequence() > lastSequence()) {
                events.add(event);
            }
        }
        while (events.size() > MAX_EVENTS) {
            events.poll();
        }
    }

    synchronized long lastSequence() {
        return events.isEmpty() ? 0 : events.peekLast().sequence();
    }

    /** Returns the newest events after a sequence number, at most {@code limit}, in order. */
    synchronized List<CacheEvent> after(long sequence, int limit) {
        final List<CacheEvent> newest = new ArrayList<>();
        for (final CacheEvent event : events) {
            if (event.sequence() > sequence) {
                newest.add(event);
            }
        }
        return List.copyOf(newest.subList(Math.max(0, newest.size() - limit), newest.size()));
    }
}
