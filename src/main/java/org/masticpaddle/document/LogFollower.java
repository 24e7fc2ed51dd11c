package org.masticpaddle.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

/**
 * Replays the log stream {@code configuration}: holds the state and the offset to read next.
 *
 * <p>Invariants: the offset of the state never decreases. If records after the state have expired, the follower has a
 * gap: it keeps its state and searches for the first snapshot from which all later records are retained. Not
 * thread-safe.
 */
final class LogFollower {
    private Optional<ConfigurationState> state = Optional.empty();
    private boolean hasGap;
    private long nextOffset;
    private boolean caughtUp;

    /** Returns the offset from which the next page should be read. */
    long nextOffset() {
        return nextOffset;
    }

    /** Returns the current state, empty until it has been built from the start of the log, a snapshot or a peer. */
    Optional<ConfigurationState> state() {
        return state;
    }

    /**
     * Returns whether the state has reached the end of the log at least once, or came from peers. Never reverts to
     * false.
     */
    boolean caughtUp() {
        return caughtUp;
    }

    /** Returns whether records between the state and the earliest retained record have expired. */
    boolean hasGap() {
        return hasGap;
    }

    /** Applies a page that was read from {@link #nextOffset()} and returns the result of each record. */
    List<ApplyResult> applyPage(LogPage page) {
        if (!hasGap && state.isEmpty() && page.earliest() == 0) {
            state = Optional.of(ConfigurationState.empty());
        }
        if (!hasGap && state.map(ConfigurationState::offset).orElse(-1L) < page.earliest()) {
            hasGap = true;
            nextOffset = page.earliest();
        }
        if (hasGap && !findSnapshot(page)) {
            return List.of();
        }
        final List<ApplyResult> results = new ArrayList<>();
        for (final LogRecord logRecord : page.records()) {
            final ConfigurationState.Transition transition = state.orElseThrow().apply(logRecord);
            state = Optional.of(transition.next());
            results.add(transition.result());
        }
        nextOffset = state.orElseThrow().offset();
        caughtUp |= nextOffset >= page.end();
        return results;
    }

    /** Searches a page for a usable snapshot. Returns whether the records of the page can be applied to it. */
    private boolean findSnapshot(LogPage page) {
        nextOffset = Math.max(nextOffset, page.earliest());
        for (final LogRecord logRecord : page.records()) {
            final Optional<ConfigurationState> found = ConfigurationRecord.decode(logRecord.data())
                    .filter(Snapshot.class::isInstance)
                    .map(Snapshot.class::cast)
                    .filter(snapshot -> snapshot.upTo() >= page.earliest())
                    .filter(snapshot -> snapshot.upTo() >= offset())
                    .flatMap(snapshot -> ConfigurationState.fromSnapshot(
                            snapshot, new SnapshotMark(snapshot.upTo(), logRecord.timeMillis())));
            if (found.isPresent()) {
                state = found;
                hasGap = false;
                nextOffset = found.get().offset();
                return page.records().get(0).offset() <= nextOffset;
            }
            nextOffset = Math.max(nextOffset, logRecord.offset() + 1);
        }
        return false;
    }

    /** Replaces the state by a peer's state if that is ahead. Returns whether it was replaced. */
    boolean adopt(ConfigurationState peerState) {
        caughtUp = true;
        if (state.isPresent() && peerState.offset() <= offset()) {
            return false;
        }
        state = Optional.of(peerState);
        hasGap = false;
        nextOffset = peerState.offset();
        return true;
    }

    /**
     * Records that this state is at least as new as those of a majority of the entries. Has no effect without a state.
     */
    void markCaughtUp() {
        caughtUp |= state.isPresent();
    }

    private long offset() {
        return state.map(ConfigurationState::offset).orElse(0L);
    }
}
