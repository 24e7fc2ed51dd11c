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

/** Simulated upstream with fixed slots, an unbounded queue and an LRU prefix cache. Not thread-safe. */
final class FakeUpstream {
    private final String id;
    private final VersionName version;
    private final int slots;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> cache;
    private final List<CacheEvent> cacheEvents = new ArrayList<>();
    private final List<Long> cacheEventTimes = new ArrayList<>();
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

    /** Returns whether the caller may start the job at once; otherwise queues it. */
    boolean accept(Job job) {
        if (running == slots) {
            queue.add(job);
            return false;
        }
        return true;
    }

    /** Starts a job and returns its service time in milliseconds. */
    double start(Job job, long startMillis) {
        nowMillis = startMillis;
        running++;
        int hitBlocks = 0;
        while (hitBlocks < job.prefixes.length && cache.get(job.prefixes[hitBlocks]) != null) {
            hitBlocks++;
        }
        // Touches blocks from last to first, so that a block is never evicted before the blocks that follow it.
        for (int index = job.prefixes.length - 1; index >= 0; index--) {
            final long prefix = job.prefixes[index];
            if (cache.put(prefix, true) == null) {
                recordEvent(prefix, true);
            }
        }
        job.cachedBlocks = hitBlocks;
        final double hitShare = job.prefixes.length == 0 ? 0 : hitBlocks / (double) job.prefixes.length;
        final double serviceMillis = job.prefillMillis * (1 - hitShare) + job.decodeMillis;
        meanServiceMillis += 0.05 * (serviceMillis - meanServiceMillis);
        return serviceMillis;
    }

    /** Releases the slot of a finished job and returns the next job to start, or an empty list. */
    List<Job> finishJob() {
        running--;
        return queue.isEmpty() ? List.of() : List.of(queue.poll());
    }

    LoadReport loadReport() {
        return new LoadReport(
                1, false, true, running, queue.size(), slots, List.of(version.toString()), meanServiceMillis);
    }

    /** Returns the cache events after a sequence number, up to and including a time in milliseconds. */
    List<CacheEvent> eventsAfter(long afterSequence, long untilMillis) {
        final List<CacheEvent> events = new ArrayList<>();
        for (int index = (int) afterSequence + 1;
                index < cacheEvents.size() && cacheEventTimes.get(index) <= untilMillis;
                index++) {
            events.add(cacheEvents.get(index));
        }
        return events;
    }

    private void recordEvent(long prefix, boolean stored) {
        cacheEvents.add(new CacheEvent(cacheEvents.size(), version.toString(), prefix, stored));
        cacheEventTimes.add(nowMillis);
    }

    /** One request, with the hashes of its prompt's prefixes and its service times in milliseconds. */
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
