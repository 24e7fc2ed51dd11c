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
 * Continuous batching: runs hold slots, the token interval grows with their number, and prefills follow each other.
 *
 * <p>Invariants: at most {@code slots} runs hold a slot; waiting runs start by priority, then in order of arrival.
 * Thread-safe; ticks come from the scheduler thread.
 */
final class EngineBatch {
    private static final double NANOS_PER_MILLI = 1e6;
    // A timer below 1 ms costs more processor time than the tokens themselves.
    private static final long MIN_TICK_NANOS = 1_000_000;
    // A streamed answer takes about 10 KB.
    private static final int MAX_KEPT_RUNS = 512;
    private static final int MAX_EVENTS = 1000;

    private final EngineSettings settings;
    private final StandInServer server;
    private final EngineJournal journal;
    private final PrefixCache cache;
    private final Map<String, EngineRun> runs = new LinkedHashMap<>();
    private final List<EngineRun> running = new ArrayList<>();
    private final Queue<EngineRun> waiting = new PriorityQueue<>(
            Comparator.<EngineRun>comparingInt(run -> run.request().priority()).thenComparingLong(EngineRun::sequence));
    private long sequence;
    private long prefillFreeNanos = System.nanoTime();
    private long lastTickNanos;
    private boolean ticking;

    EngineBatch(EngineSettings settings, StandInServer server, EngineJournal journal) {
        this.settings = settings;
        this.server = server;
        this.journal = journal;
        this.cache = new PrefixCache(settings);
    }

    synchronized void add(EngineRun run) {
        remember(run);
        enqueue(run);
    }

    /** Keeps a run that never starts, so that it can be cancelled. */
    synchronized void remember(EngineRun run) {
        runs.put(run.request().id(), run);
        final Iterator<EngineRun> oldest = runs.values().iterator();
        while (runs.size() > MAX_KEPT_RUNS && oldest.hasNext()) {
            final EngineRun.State state = oldest.next().state();
            if (state == EngineRun.State.DONE || state == EngineRun.State.CANCELLED) {
                oldest.remove();
            }
        }
    }

    synchronized Optional<EngineRun> find(String id) {
        return Optional.ofNullable(runs.get(id));
    }

    /** Lets a cancelled run go on. */
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

    synchronized List<CacheEvent> events(long after) {
        return cache.eventsAfter(after, MAX_EVENTS);
    }

    synchronized void dropVersion(String version) {
        cache.drop(version);
    }

    /** Stores the prefix of an imported request, so that its prefill is short. */
    synchronized void importPrefix(String version, String prompt) {
        cache.use(version, cache.hashes(version, prompt));
    }

    private void enqueue(EngineRun run) {
        run.await(sequence++);
        waiting.add(run);
        fillSlots();
    }

    private void fillSlots() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            begin(waiting.remove());
        }
        if (!running.isEmpty() && !ticking) {
            ticking = true;
            lastTickNanos = System.nanoTime();
            server.execute(this::tick);
        }
    }

    private void begin(EngineRun run) {
        final String version = run.request().version();
        final String prompt = run.request().prompt();
        final int cached = cache.use(version, cache.hashes(version, prompt));
        final double prefillMillis = (AnswerText.countTokens(prompt) - cached) * settings.prefillMillisPerToken();
        final long cost = (long) (Math.max(0, prefillMillis) * settings.timeScale() * NANOS_PER_MILLI);
        prefillFreeNanos = Math.max(System.nanoTime(), prefillFreeNanos) + cost;
        run.begin(prefillFreeNanos, cached);
        journal.update(run.request().id(), entry -> entry.started(cached));
        running.add(run);
    }

    private synchronized void tick() {
        final long now = System.nanoTime();
        final double interval = (settings.tokenMillis() + settings.tokenMillisPerRunning() * (running.size() - 1))
                * settings.timeScale()
                * NANOS_PER_MILLI;
        for (final Iterator<EngineRun> iterator = running.iterator(); iterator.hasNext(); ) {
            final EngineRun run = iterator.next();
            run.advance(lastTickNanos, now, interval);
            if (run.state() == EngineRun.State.DONE) {
                iterator.remove();
                journal.update(run.request().id(), entry -> entry.ended(run.emitted(), false, false));
            }
        }
        lastTickNanos = now;
        fillSlots();
        ticking = !running.isEmpty();
        if (ticking) {
            server.schedule(this::tick, Math.max(MIN_TICK_NANOS, (long) interval));
        }
    }
}
