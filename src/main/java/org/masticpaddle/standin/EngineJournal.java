package org.masticpaddle.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** What an engine stand-in did with each request. Thread-safe; the oldest entries are dropped first. */
public final class EngineJournal {

    private static final int MAX_ENTRIES = 200_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Notes one more run of a request. */
    synchronized void recordAccepted(EngineRequest request) {
        add(request, find(request.id()).map(Entry::runs).orElse(0) + 1);
    }

    /** Notes a request that began on another engine, which is no run of this one. */
    synchronized void recordImported(EngineRequest request) {
        add(request, 0);
    }

    private void add(EngineRequest request, int runs) {
        final long now = System.currentTimeMillis();
        entries.put(
                request.id(),
                new Entry(request.id(), request.version(), request.priority(), now, 0, 0, runs, 0, false, false, 0, 0));
    }

    synchronized void update(String id, UnaryOperator<Entry> change) {
        entries.computeIfPresent(id, (key, entry) -> change.apply(entry));
    }

    synchronized Optional<Entry> find(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    synchronized List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * One request. Immutable. Times are in milliseconds since 1970, 0 for not yet.
     *
     * @param id identifier of the request
     * @param version version that was asked for
     * @param priority priority, 0 to 2
     * @param acceptedMillis time it was accepted
     * @param startMillis time it first got a slot
     * @param endMillis time it finished, failed or was cancelled
     * @param runs how often it was accepted as new work
     * @param resumes how often it went on after it was cancelled
     * @param cancelled whether it was ever cancelled
     * @param failed whether it was answered with an error
     * @param cachedTokens prompt tokens that were cached
     * @param outputTokens tokens generated
     */
    public record Entry(
            String id,
            String version,
            int priority,
            long acceptedMillis,
            long startMillis,
            long endMillis,
            int runs,
            int resumes,
            boolean cancelled,
            boolean failed,
            int cachedTokens,
            int outputTokens) {

        Entry started(int cached) {
            final long start = startMillis == 0 ? System.currentTimeMillis() : startMillis;
            return new Entry(
                    id,
                    version,
                    priority,
                    acceptedMillis,
                    start,
                    0,
                    runs,
                    resumes,
                    cancelled,
                    failed,
                    cached,
                    outputTokens);
        }

        Entry ended(int tokens, boolean wasCancelled, boolean hasFailed) {
            return new Entry(
                    id,
                    version,
                    priority,
                    acceptedMillis,
                    startMillis,
                    System.currentTimeMillis(),
                    runs,
                    resumes,
                    cancelled || wasCancelled,
                    failed || hasFailed,
                    cachedTokens,
                    tokens);
        }

        Entry resumed() {
            return new Entry(
                    id,
                    version,
                    priority,
                    acceptedMillis,
                    startMillis,
                    0,
                    runs,
                    resumes + 1,
                    cancelled,
                    failed,
                    cachedTokens,
                    outputTokens);
        }
    }
}
