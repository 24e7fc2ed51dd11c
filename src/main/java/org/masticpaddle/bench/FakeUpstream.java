package org.masticpaddle.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.EngineControl.CacheEvent;
import org.masticpaddle.wire.LoadReport;

/** A fake upstream: fixed slots, a queue, and a prefix cache that evicts the block used least recently. */
final class FakeUpstream {
    private final String id;
    private final VersionName version;
    private final int slots;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> cache;
    private final List<CacheEvent> journal = new ArrayList<>();
    private final List<Long> eventTimes = new ArrayList<>();
    private int running;
    private double meanServiceMillis = 1_000;
    private long nowMillis;

    FakeUpstream(String id, VersionName version, int slots, int cacheBlocks) {
        this.id = id;
        this.version = version;
        this.slots = slots;
        cache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                if (size() <= cacheBlocks) {
                    return false;
                }
                recordEvent(eldest.getKey(), false);
                return true;
            }
        };
    }

    String id() {
        return id;
    }

    /** Accepts a job; returns whether it starts at once. */
    boolean accept(Job job) {
        if (running == slots) {
            queue.add(job);
            return false;
        }
        return true;
    }

    /** Starts a job and returns its service time in milliseconds. */
    double start(Job job, long at) {
        nowMillis = at;
        running++;
        int hits = 0;
        while (hits < job.prefixes.length && cache.get(job.prefixes[hits]) != null) {
            hits++;
        }
        // Stored from the last block to the first, so that a block is never evicted before those that follow it.
        for (int index = job.prefixes.length - 1; index >= 0; index--) {
            final long prefix = job.prefixes[index];
            if (cache.put(prefix, true) == null) {
                recordEvent(prefix, true);
            }
        }
        job.cachedBlocks = hits;
        final double part = job.prefixes.length == 0 ? 0 : hits / (double) job.prefixes.length;
        final double service = job.prefillMillis * (1 - part) + job.decodeMillis;
        meanServiceMillis += 0.05 * (service - meanServiceMillis);
        return service;
    }

    /** Ends a job and returns the next one to start, or an empty list. */
    List<Job> finishJob() {
        running--;
        return queue.isEmpty() ? List.of() : List.of(queue.poll());
    }

    LoadReport loadReport() {
        return new LoadReport(1, false, true, running, queue.size(), slots, List.of(version.toString()), meanServiceMillis);
    }

    /** Events after a number that are older than a time. */
    List<CacheEvent> eventsAfter(long after, long until) {
        final List<CacheEvent> events = new ArrayList<>();
        for (int index = (int) after + 1; index < journal.size() && eventTimes.get(index) <= until; index++) {
            events.add(journal.get(index));
        }
        return events;
    }

    private void recordEvent(long prefix, boolean stored) {
        journal.add(new CacheEvent(journal.size(), version.toString(), prefix, stored));
        eventTimes.add(nowMillis);
    }

    /** One request at an upstream. */
    static final class Job {
        final long[] prefixes;
        final double prefillMillis;
        final double decodeMillis;
        final long arrivalMillis;
        int cachedBlocks;

        Job(long[] prefixes, double prefillMillis, double decodeMillis, long arrived) {
            this.prefixes = prefixes;
            this.prefillMillis = prefillMillis;
            this.decodeMillis = decodeMillis;
            this.arrivalMillis = arrived;
        }
    }
}
