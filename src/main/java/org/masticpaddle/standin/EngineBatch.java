package org.masticpaddle.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;

import org.masticpaddle.platform.EngineControl.CacheEvent;

/**
 * Simulates continuous batching: each running request holds a slot, the time between tokens grows with the number of
 * running requests, and prefills are executed one after the other.
 *
 * <p>Invariants: at most {@code slots} requests run; waiting requests start in order of priority, then of arrival.
 * Thread-safe; tokens are emitted on the scheduler thread.
 */
final class EngineBatch {
    private static final double NANOS_PER_MILLI = 1e6;
    // A timer interval below 1 ms costs more CPU time than generating the tokens.
    private static final long MIN_TICK_NANOS = 1_000_000;
    // Limits the memory of retained answers: a streamed answer takes about 10 KB.
    private static final int MAX_RETAINED_RUNS = 512;
    private static final int MAX_EVENTS_PER_RESPONSE = 1000;

    private final EngineSettings settings;
    private final StandInServer server;
    private final EngineJournal journal;
    private final PrefixCache cache;
    private final Map<String, EngineRun> runs = new LinkedHashMap<>();
    private final List<EngineRun> running = new ArrayList<>();
    private final Queue<EngineRun> waiting = new PriorityQueue<>(
            Comparator.<EngineRun>comparingInt(run -> run.request().priority()).thenComparingLong(EngineRun::sequence));
    private long nextSequence;
    private long prefillEndNanos = System.nanoTime();
    private long lastTickNanos;
    private boolean tickScheduled;

    EngineBatch(EngineSettings settings, StandInServer server, EngineJournal journal) {
        this.settings = settings;
        this.server = server;
        this.journal = journal;
        this.cache = new PrefixCache(settings);
    }

    synchronized void add(EngineRun run) {
        retain(run);
        enqueue(run);
    }

    /**
     * Stores a run without starting it, so that it can be found, cancelled or exported. Evicts the oldest finished or
     * cancelled runs above the limit.
     */
    synchronized void retain(EngineRun run) {
        runs.put(run.request().id(), run);
        final Iterator<EngineRun> eldest = runs.values().iterator();
        while (runs.size() > MAX_RETAINED_RUNS && eldest.hasNext()) {
            final EngineRun.State state = eldest.next().state();
            if (state == EngineRun.State.DONE || state == EngineRun.State.CANCELLED) {
                eldest.remove();
            }
        }
    }

    synchronized Optional<EngineRun> find(String id) {
        return Optional.ofNullable(runs.get(id));
    }

    /** Queues a cancelled run again; a run in any other state is left as it is. */
    synchronized void resume(EngineRun run) {
        if (run.state() == EngineRun.State.CANCELLED) {
            journal.update(run.request().id(), EngineJournal.Entry::resumed);
            enqueue(run);
        }
    }

    synchronized boolean cancel(String id) {
        final EngineRun run = runs.get(id);
        if (run == null || run.state() == EngineRun.State.DONE || run.state() == EngineRun.State.CANCELLED) {
            return false;
        }
        waiting.remove(run);
        running.remove(run);
        run.cancel();
        journal.update(id, entry -> entry.ended(run.emitted(), true, false));
        fillSlots();
        return true;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized int waitingCount() {
        return waiting.size();
    }

    synchronized int cachedBlocks() {
        return cache.size();
    }

    synchronized List<CacheEvent> cacheEvents(long after) {
        return cache.eventsAfter(after, MAX_EVENTS_PER_RESPONSE);
    }

    synchronized void evictVersion(String version) {
        cache.evictVersion(version);
    }

    /** Stores the blocks of an imported request's prompt, so that its prefill finds them cached. */
    synchronized void importPrefix(String version, String prompt) {
        cache.lookUpAndStore(version, cache.hashes(version, prompt));
    }

    private void enqueue(EngineRun run) {
        run.enqueue(nextSequence++);
        waiting.add(run);
        fillSlots();
    }

    private void fillSlots() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            start(waiting.remove());
        }
        if (!running.isEmpty() && !tickScheduled) {
            tickScheduled = true;
            lastTickNanos = System.nanoTime();
            server.execute(this::tick);
        }
    }

    private void start(EngineRun run) {
        final String version = run.request().version();
        final String prompt = run.request().prompt();
        final int cached = cache.lookUpAndStore(version, cache.hashes(version, prompt));
        final double prefillMillis = (AnswerText.countTokens(prompt) - cached) * settings.prefillMillisPerToken();
        final long prefillNanos = (long) (Math.max(0, prefillMillis) * settings.timeScale() * NANOS_PER_MILLI);
        prefillEndNanos = Math.max(System.nanoTime(), prefillEndNanos) + prefillNanos;
        run.start(prefillEndNanos, cached);
        journal.update(run.request().id(), entry -> entry.started(cached));
        running.add(run);
    }

    private synchronized void tick() {
        final long now = System.nanoTime();
        final double interval = (settings.tokenMillis() + settings.tokenMillisPerRunning() * (running.size() - 1))
                * settings.timeScale()
                * NANOS_PER_MILLI;
        for (final Iterator<EngineRun> unvisited = running.iterator(); unvisited.hasNext(); ) {
            final EngineRun run = unvisited.next();
            run.emitDueTokens(lastTickNanos, now, interval);
            if (run.state() == EngineRun.State.DONE) {
                unvisited.remove();
                journal.update(run.request().id(), entry -> entry.ended(run.emitted(), false, false));
            }
        }
        lastTickNanos = now;
        fillSlots();
        tickScheduled = !running.isEmpty();
        if (tickScheduled) {
            server.schedule(this::tick, Math.max(MIN_TICK_NANOS, (long) interval));
        }
    }
}
