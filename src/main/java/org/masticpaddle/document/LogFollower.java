package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/**
 * Place of one reader in the log stream {@code configuration}: where it reads next, and the state it has folded.
 *
 * <p>Invariants: the state's offset never goes down. If records before the next one have expired, the reader looks for
 * the first snapshot from which all later records are retained, and keeps its state until then. Used by one thread.
 */
final class LogFollower {
    private Optional<ConfigurationState> fold = Optional.empty();
    private boolean searching;
    private long readFrom;
    private boolean complete;

    /** Returns the lowest offset that the next page should hold. */
    long readFrom() {
        return readFrom;
    }

    /** Returns the folded state, empty if the log's prefix is unknown so far. */
    Optional<ConfigurationState> fold() {
        return fold;
    }

    /** Tells whether the state has once reached the end of the log, or came from peers. Stays true. */
    boolean complete() {
        return complete;
    }

    /** Tells whether records are missing between the state and what the log retains. */
    boolean searching() {
        return searching;
    }

    /** Takes a page that was read from {@link #readFrom()} and returns what each record did. */
    List<ApplyResult> accept(LogPage page) {
        if (!searching && fold.isEmpty() && page.earliest() == 0) {
            fold = Optional.of(ConfigurationState.empty());
        }
        if (!searching && fold.map(ConfigurationState::offset).orElse(-1L) < page.earliest()) {
            searching = true;
            readFrom = page.earliest();
        }
        if (searching && !search(page)) {
            return List.of();
        }
        final List<ApplyResult> results = new ArrayList<>();
        for (final LogRecord entry : page.records()) {
            final ConfigurationState.Transition step = fold.orElseThrow().apply(entry);
            fold = Optional.of(step.next());
            results.add(step.result());
        }
        readFrom = fold.orElseThrow().offset();
        complete |= readFrom >= page.end();
        return results;
    }

    /** Looks for a usable snapshot. Returns whether the page's records can be applied after it. */
    private boolean search(LogPage page) {
        readFrom = Math.max(readFrom, page.earliest());
        for (final LogRecord entry : page.records()) {
            final Optional<ConfigurationState> found = ConfigurationRecord.decode(entry.data())
                    .filter(Snapshot.class::isInstance)
                    .map(Snapshot.class::cast)
                    .filter(snapshot -> snapshot.upTo() >= page.earliest())
                    .filter(snapshot -> snapshot.upTo() >= offset())
                    .flatMap(snapshot ->
                            ConfigurationState.restore(snapshot, new SnapshotMark(snapshot.upTo(), entry.timeMillis())));
            if (found.isPresent()) {
                fold = found;
                searching = false;
                readFrom = found.get().offset();
                return page.records().get(0).offset() <= readFrom;
            }
            readFrom = Math.max(readFrom, entry.offset() + 1);
        }
        return false;
    }

    /** Takes a state from peers if it is ahead. Returns whether it was taken. */
    boolean adopt(ConfigurationState state) {
        complete = true;
        if (fold.isPresent() && state.offset() <= offset()) {
            return false;
        }
        fold = Optional.of(state);
        searching = false;
        readFrom = state.offset();
        return true;
    }

    /** Notes that a majority of the entries knows nothing beyond the state, if there is one. */
    void completeByPeers() {
        complete |= fold.isPresent();
    }

    private long offset() {
        return fold.map(ConfigurationState::offset).orElse(0L);
    }
}
