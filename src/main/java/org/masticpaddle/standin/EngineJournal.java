package org.masticpaddle.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Records what an engine stand-in did with each request. The oldest entries above 200,000 are dropped. Thread-safe. */
public final class EngineJournal {

    private static final int MAX_ENTRIES = 200_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Records that a request was accepted as new work, which counts as one more run of it. */
    synchronized void recordAccepted(EngineRequest request) {
        add(request, find(request.id()).map(Entry::runs).orElse(0) + 1);
    }

    /** Records a request that was started on another engine, which does not count as a run on this one. */
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
     * Record of one request. Immutable.
     *
     * <p>Times are in milliseconds since 1970; 0 means that the event has not happened.
     *
     * @param id identifier of the request
     * @param version requested version as {@code model/version}
     * @param priority priority from 0, the highest, to 2
     * @param acceptedMillis time at which it was last accepted as new work or imported
     * @param startMillis time at which it first got a slot
     * @param endMillis time at which it finished, failed or was cancelled; 0 again after it is resumed
     * @param runs number of times that it was accepted as new work
     * @param resumes number of times that it was resumed after it was cancelled
     * @param cancelled whether it was cancelled at least once
     * @param failed whether it failed with an error
     * @param cachedTokens number of prompt tokens found in the prefix cache
     * @param outputTokens number of tokens generated until it ended
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
