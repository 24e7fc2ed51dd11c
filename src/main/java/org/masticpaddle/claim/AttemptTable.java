package org.masticpaddle.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Memory of one sidecar incarnation about the attempts it accepted or sealed.
 *
 * <p>Invariants: an attempt is accepted at most once; a sealed attempt is never accepted; an attempt is forgotten only
 * after its lifetime, from when on it is refused as expired. A full table refuses new attempts. Not thread-safe.
 */
public final class AttemptTable {
    private static final AttemptStatus RUNNING = new AttemptStatus.Running();
    private static final AttemptStatus SEALED = new AttemptStatus.Sealed();
    private static final AttemptStatus UNKNOWN = new AttemptStatus.Unknown();

    private final long incarnation;
    private final long lifetimeMillis;
    private final int maxAttempts;
    private final int maxAnswerBytes;
    private final long maxTotalBytes;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final PriorityQueue<Attempt> oldest =
            new PriorityQueue<>(Comparator.comparingLong(attempt -> attempt.createdMillis));
    private long totalBytes;
    private long latestMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param incarnation incarnation of this sidecar
     * @param lifetimeMillis key lifetime in milliseconds
     * @param maxAttempts attempts remembered at most
     * @param maxAnswerBytes longest answer kept, in bytes
     * @param maxTotalBytes total of the answers kept, in bytes
     */
    public AttemptTable(
            long incarnation, long lifetimeMillis, int maxAttempts, int maxAnswerBytes, long maxTotalBytes) {
        this.incarnation = incarnation;
        this.lifetimeMillis = lifetimeMillis;
        this.maxAttempts = maxAttempts;
        this.maxAnswerBytes = maxAnswerBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /**
     * Decides whether a dispatch is run.
     *
     * @param attemptId attempt identifier
     * @param addressee incarnation that the dispatch is addressed to, 0 if any may run it
     * @param createdMillis creation time of the attempt, from {@link AttemptIdGenerator#createdMillis(String)}
     * @param nowMillis current time in milliseconds since 1970
     * @return {@link AttemptAdmission#RUN} if the caller must now run the attempt, else the reason against it
     */
    public AttemptAdmission accept(String attemptId, long addressee, long createdMillis, long nowMillis) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        if (addressee != 0 && addressee != incarnation) {
            return AttemptAdmission.OTHER_INCARNATION;
        }
        forget(nowMillis);
        final Attempt known = attempts.get(attemptId);
        if (known != null) {
            return known.state == SEALED ? AttemptAdmission.SEALED : AttemptAdmission.REPEATED;
        }
        if (expired(createdMillis)) {
            return AttemptAdmission.EXPIRED;
        }
        if (createdMillis > latestMillis + ClaimLedger.MARGIN_MILLIS) {
            return AttemptAdmission.TOO_FAR_AHEAD;
        }
        return remember(attemptId, createdMillis, RUNNING) ? AttemptAdmission.RUN : AttemptAdmission.FULL;
    }

    /**
     * Settles an attempt: finds its state, and seals it if it was never seen.
     *
     * @param attemptId attempt identifier
     * @param addressee incarnation named in the claim
     * @param createdMillis creation time of the attempt
     * @param nowMillis current time in milliseconds since 1970
     * @return the state; {@link AttemptStatus.Unknown} if the attempt cannot be sealed
     */
    public AttemptStatus resolve(String attemptId, long addressee, long createdMillis, long nowMillis) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        if (addressee != incarnation) {
            return UNKNOWN;
        }
        forget(nowMillis);
        final Attempt known = attempts.get(attemptId);
        if (known != null) {
            return known.state;
        }
        final boolean sealable = !expired(createdMillis) && createdMillis <= latestMillis + ClaimLedger.MARGIN_MILLIS;
        return sealable && remember(attemptId, createdMillis, SEALED) ? SEALED : UNKNOWN;
    }

    /**
     * Records the answer of a running attempt.
     *
     * @param attemptId attempt identifier; ignored if it is not running
     * @param status HTTP status
     * @param answer the whole answer; not kept if it exceeds a bound
     */
    public void recordAnswer(String attemptId, int status, byte[] answer) {
        final boolean kept = answer.length <= maxAnswerBytes && totalBytes + answer.length <= maxTotalBytes;
        final Optional<byte[]> recorded = kept ? Optional.of(answer) : Optional.empty();
        if (finish(attemptId, new AttemptStatus.Answered(status, recorded)) && kept) {
            totalBytes += answer.length;
        }
    }

    /**
     * Records that an accepted attempt never reached the upstream and never will; it counts as sealed.
     *
     * @param attemptId attempt identifier; ignored if it is not running
     */
    public void recordNotRun(String attemptId) {
        finish(attemptId, SEALED);
    }

    /**
     * Records that a running attempt ended without a complete answer.
     *
     * @param attemptId attempt identifier; ignored if it is not running
     */
    public void recordIncomplete(String attemptId) {
        finish(attemptId, UNKNOWN);
    }

    /**
     * Returns the number of attempts remembered.
     *
     * @return number of attempts
     */
    public int size() {
        return attempts.size();
    }

    /**
     * Returns the total of the answers kept.
     *
     * @return bytes
     */
    public long answerBytes() {
        return totalBytes;
    }

    private boolean remember(String attemptId, long createdMillis, AttemptStatus state) {
        if (attempts.size() >= maxAttempts) {
            return false;
        }
        final Attempt attempt = new Attempt(attemptId, createdMillis, state);
        attempts.put(attemptId, attempt);
        oldest.add(attempt);
        return true;
    }

    private boolean finish(String attemptId, AttemptStatus state) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt == null || attempt.state != RUNNING) {
            return false;
        }
        attempt.state = state;
        return true;
    }

    private boolean expired(long createdMillis) {
        return createdMillis <= latestMillis - lifetimeMillis;
    }

    /** Uses the latest time seen, so that a clock set back does not make a forgotten attempt acceptable again. */
    private void forget(long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        while (!oldest.isEmpty() && expired(oldest.peek().createdMillis)) {
            final Attempt attempt = oldest.poll();
            attempts.remove(attempt.id);
            if (attempt.state instanceof AttemptStatus.Answered answered) {
                totalBytes -= answered.answer().map(answer -> answer.length).orElse(0);
            }
        }
    }

    private static final class Attempt {
        private final String id;
        private final long createdMillis;
        private AttemptStatus state;

        Attempt(String id, long createdMillis, AttemptStatus state) {
            this.id = id;
            this.createdMillis = createdMillis;
            this.state = state;
        }
    }
}
