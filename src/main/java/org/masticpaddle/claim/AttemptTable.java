package org.masticpaddle.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Table of the attempts that one sidecar incarnation has accepted or fenced.
 *
 * <p>Invariants: an attempt is accepted at most once; a fenced attempt is never accepted; an attempt is evicted only
 * after the key lifetime, from which time on it is rejected as expired. A full table rejects new attempts. Not
 * thread-safe.
 */
public final class AttemptTable {
    private static final AttemptStatus RUNNING = new AttemptStatus.Running();
    private static final AttemptStatus SEALED = new AttemptStatus.Sealed();
    private static final AttemptStatus UNKNOWN = new AttemptStatus.Unknown();

    private final long incarnation;
    private final long lifetimeMillis;
    private final int maxAttempts;
    private final int maxAnswerBytes;
    private final long maxTotalAnswerBytes;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final PriorityQueue<Attempt> byCreationTime =
            new PriorityQueue<>(Comparator.comparingLong(attempt -> attempt.createdMillis));
    private long totalAnswerBytes;
    private long latestTimeMillis = Long.MIN_VALUE;

    /**
     * Creates an empty table.
     *
     * @param incarnation incarnation of this sidecar
     * @param lifetimeMillis key lifetime in milliseconds
     * @param maxAttempts maximum number of attempts in the table
     * @param maxAnswerBytes maximum size of one stored answer, in bytes
     * @param maxTotalAnswerBytes maximum total size of the stored answers, in bytes
     */
    public AttemptTable(
            long incarnation, long lifetimeMillis, int maxAttempts, int maxAnswerBytes, long maxTotalAnswerBytes) {
        this.incarnation = incarnation;
        this.lifetimeMillis = lifetimeMillis;
        this.maxAttempts = maxAttempts;
        this.maxAnswerBytes = maxAnswerBytes;
        this.maxTotalAnswerBytes = maxTotalAnswerBytes;
    }

    /**
     * Decides whether a dispatched attempt runs, and records it if it does.
     *
     * @param attemptId attempt identifier
     * @param targetIncarnation incarnation that the dispatch is addressed to, 0 for any
     * @param createdMillis creation time of the attempt, from {@link AttemptIdGenerator#createdMillis(String)}
     * @param nowMillis current time in milliseconds since 1970
     * @return {@link AttemptAdmission#RUN} if the caller must run the attempt, else the reason for the rejection
     */
    public AttemptAdmission accept(String attemptId, long targetIncarnation, long createdMillis, long nowMillis) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        if (targetIncarnation != 0 && targetIncarnation != incarnation) {
            return AttemptAdmission.OTHER_INCARNATION;
        }
        evictExpired(nowMillis);
        final Attempt existing = attempts.get(attemptId);
        if (existing != null) {
            return existing.status == SEALED ? AttemptAdmission.SEALED : AttemptAdmission.REPEATED;
        }
        if (isExpired(createdMillis)) {
            return AttemptAdmission.EXPIRED;
        }
        if (createdMillis > latestTimeMillis + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS) {
            return AttemptAdmission.TOO_FAR_AHEAD;
        }
        return insert(attemptId, createdMillis, RUNNING) ? AttemptAdmission.RUN : AttemptAdmission.FULL;
    }

    /**
     * Resolves the status of an attempt. An attempt that is not in the table is fenced, so that it never runs.
     *
     * @param attemptId attempt identifier
     * @param targetIncarnation incarnation in the claim of the attempt
     * @param createdMillis creation time of the attempt
     * @param nowMillis current time in milliseconds since 1970
     * @return the status; {@link AttemptStatus.Unknown} for another incarnation, or if the attempt is not in the table
     *     and cannot be fenced
     */
    public AttemptStatus resolve(String attemptId, long targetIncarnation, long createdMillis, long nowMillis) {
        Objects.requireNonNull(attemptId, "attemptId is null");
        if (targetIncarnation != incarnation) {
            return UNKNOWN;
        }
        evictExpired(nowMillis);
        final Attempt existing = attempts.get(attemptId);
        if (existing != null) {
            return existing.status;
        }
        final boolean fenceable =
                !isExpired(createdMillis) && createdMillis <= latestTimeMillis + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS;
        return fenceable && insert(attemptId, createdMillis, SEALED) ? SEALED : UNKNOWN;
    }

    /**
     * Records the complete answer of a running attempt.
     *
     * @param attemptId attempt identifier; ignored if it is not running
     * @param status HTTP status
     * @param answer the complete answer; not stored if it exceeds a size limit
     */
    public void recordAnswer(String attemptId, int status, byte[] answer) {
        final boolean stored =
                answer.length <= maxAnswerBytes && totalAnswerBytes + answer.length <= maxTotalAnswerBytes;
        final Optional<byte[]> recorded = stored ? Optional.of(answer) : Optional.empty();
        if (finish(attemptId, new AttemptStatus.Answered(status, recorded)) && stored) {
            totalAnswerBytes += answer.length;
        }
    }

    /**
     * Records that an accepted attempt did not reach the upstream and never will, which fences it.
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
     * Returns the number of attempts in the table.
     *
     * @return number of attempts
     */
    public int size() {
        return attempts.size();
    }

    /**
     * Returns the total size of the stored answers.
     *
     * @return size in bytes
     */
    public long answerBytes() {
        return totalAnswerBytes;
    }

    private boolean insert(String attemptId, long createdMillis, AttemptStatus status) {
        if (attempts.size() >= maxAttempts) {
            return false;
        }
        final Attempt attempt = new Attempt(attemptId, createdMillis, status);
        attempts.put(attemptId, attempt);
        byCreationTime.add(attempt);
        return true;
    }

    private boolean finish(String attemptId, AttemptStatus status) {
        final Attempt attempt = attempts.get(attemptId);
        if (attempt == null || attempt.status != RUNNING) {
            return false;
        }
        attempt.status = status;
        return true;
    }

    private boolean isExpired(long createdMillis) {
        return createdMillis <= latestTimeMillis - lifetimeMillis;
    }

    /**
     * Uses the latest time seen, so that a clock that is set back does not make an evicted attempt acceptable again.
     */
    private void evictExpired(long nowMillis) {
        latestTimeMillis = Math.max(latestTimeMillis, nowMillis);
        while (!byCreationTime.isEmpty() && isExpired(byCreationTime.peek().createdMillis)) {
            final Attempt attempt = byCreationTime.poll();
            attempts.remove(attempt.id);
            if (attempt.status instanceof AttemptStatus.Answered answered) {
                totalAnswerBytes -=
                        answered.answer().map(answer -> answer.length).orElse(0);
            }
        }
    }

    private static final class Attempt {
        private final String id;
        private final long createdMillis;
        private AttemptStatus status;

        Attempt(String id, long createdMillis, AttemptStatus status) {
            this.id = id;
            this.createdMillis = createdMillis;
            this.status = status;
        }
    }
}
