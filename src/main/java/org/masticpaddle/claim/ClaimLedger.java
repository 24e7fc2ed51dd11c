package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;

import org.masticpaddle.platform.LogRecord;

/**
 * State of one claim partition, built by applying its records in log order. It determines which claim holds each key.
 *
 * <p>Invariants: all readers of a partition agree on every key within its lifetime, whatever offset they started at, if
 * that offset is no later than the start of the key lifetime less {@link #CLOCK_SKEW_MARGIN_MILLIS}. Claims of a key
 * compete only with claims of the same key and creation time. If the key is held under another creation time, a later
 * claim is not won but reported as {@link ApplyResult.KeyHeld}. Not thread-safe.
 */
public final class ClaimLedger {
    /**
     * Tolerance around the key lifetime in milliseconds: one minute by which a key's creation time may lie in the
     * future, and one minute of skew between the clocks of the entries and of the log.
     */
    public static final long CLOCK_SKEW_MARGIN_MILLIS = 120_000;

    private static final ApplyResult IGNORED = new ApplyResult.Ignored();

    private final long lifetimeMillis;
    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Map<KeyName, List<KeyState>> statesByName = new HashMap<>();
    private final PriorityQueue<KeyState> byCreationTime =
            new PriorityQueue<>(Comparator.comparingLong(state -> state.key.createdMillis()));
    private long nextOffset;
    private long answerBytes;
    private long latestUntrackedMillis = Long.MIN_VALUE;

    /**
     * Creates an empty ledger.
     *
     * @param lifetimeMillis key lifetime in milliseconds
     * @param maxKeys maximum number of keys; a claim of a further key is never won, so that no key is evicted before
     *     the end of its lifetime
     * @param maxAnswerBytes maximum total size of the stored answers in bytes; an outcome that exceeds it is stored
     *     without its answer
     */
    public ClaimLedger(long lifetimeMillis, int maxKeys, long maxAnswerBytes) {
        this.lifetimeMillis = lifetimeMillis;
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Returns the offset of the next record to apply.
     *
     * @return offset in the partition
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Skips records that the log no longer retains or that precede the start of the key lifetime.
     *
     * @param offset offset of the next record to apply; ignored if it is below {@link #nextOffset()}
     */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Returns the number of tracked keys.
     *
     * @return number of keys
     */
    public int size() {
        return byCreationTime.size();
    }

    /**
     * Applies the next record.
     *
     * @param record record of the partition; one below {@link #nextOffset()} is ignored
     * @return the effect on this ledger
     */
    public ApplyResult apply(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.offset() < nextOffset) {
            return IGNORED;
        }
        nextOffset = record.offset() + 1;
        evictExpired(record.timeMillis());
        final Optional<ClaimRecord> decoded = ClaimRecord.decode(record.data());
        if (decoded.isEmpty()) {
            return IGNORED;
        }
        if (decoded.get() instanceof ClaimRecord.Claim claim) {
            return applyClaim(claim, record.timeMillis());
        }
        return find(decoded.get().key())
                .filter(state -> state.isHeldBy(decoded.get().attemptId()) && state.outcome.isEmpty())
                .map(state -> applyToHeldKey(state, decoded.get()))
                .orElse(IGNORED);
    }

    /**
     * Returns the claim that holds a key, under any creation time.
     *
     * @param key key, whose creation time is not compared
     * @param nowMillis time in milliseconds since 1970; claims whose key has expired by then are left out
     * @return the claim and its outcome, empty if no claim holds the key
     */
    public Optional<CurrentClaim> currentClaim(IdempotencyKey key, long nowMillis) {
        return states(key).stream()
                .filter(state -> state.holdingClaim.isPresent() && !isExpired(state.key, nowMillis))
                .min(Comparator.comparingLong(state -> state.claimOffset))
                .map(KeyState::currentClaim);
    }

    /**
     * Returns the round that a new claim of a key must carry.
     *
     * @param key key with its creation time
     * @return number of releases of the key that have been applied
     */
    public long round(IdempotencyKey key) {
        return find(key).map(state -> state.round).orElse(0L);
    }

    /**
     * Returns whether a claim holds its key.
     *
     * @param claim claim to compare with the current claim of its key
     * @return {@code true} if the claim holds its key and was not released
     */
    public boolean isCurrent(ClaimRecord.Claim claim) {
        return find(claim.key())
                .filter(state -> state.isHeldBy(claim.attemptId()))
                .isPresent();
    }

    /**
     * Returns whether this ledger has tracked every claim that may have won a key.
     *
     * @param key key with its creation time
     * @param nowMillis time in milliseconds since 1970
     * @return {@code false} if the key has expired, or a claim of it may have been left untracked while the ledger was
     *     full
     */
    public boolean isCompleteFor(IdempotencyKey key, long nowMillis) {
        return !isExpired(key, nowMillis)
                && (key.createdMillis() > latestUntrackedMillis || find(key).isPresent());
    }

    /**
     * Evicts the keys whose lifetime and clock skew margin have passed.
     *
     * @param nowMillis time in milliseconds since 1970
     */
    public void evictExpired(long nowMillis) {
        while (!byCreationTime.isEmpty()
                && isExpired(byCreationTime.peek().key, nowMillis - CLOCK_SKEW_MARGIN_MILLIS)) {
            final KeyState state = byCreationTime.poll();
            answerBytes -= state.outcome.map(outcome -> outcome.answer().length).orElse(0);
            final KeyName name = KeyName.of(state.key);
            final List<KeyState> states = statesByName.get(name);
            states.remove(state);
            if (states.isEmpty()) {
                statesByName.remove(name);
            }
        }
    }

    private ApplyResult applyClaim(ClaimRecord.Claim claim, long timeMillis) {
        final IdempotencyKey key = claim.key();
        if (isExpired(key, timeMillis) || key.createdMillis() > timeMillis + CLOCK_SKEW_MARGIN_MILLIS) {
            return new ApplyResult.OutsideLifetime(claim);
        }
        final Optional<KeyState> existing = find(key);
        if (existing.isEmpty() && (key.createdMillis() <= latestUntrackedMillis || byCreationTime.size() >= maxKeys)) {
            latestUntrackedMillis = Math.max(latestUntrackedMillis, key.createdMillis());
            return new ApplyResult.Untracked(claim);
        }
        if (existing.isPresent() && existing.get().holdingClaim.isPresent()) {
            final KeyState state = existing.get();
            return state.isHeldBy(claim.attemptId()) ? IGNORED : new ApplyResult.KeyHeld(claim, state.currentClaim());
        }
        if (claim.round() != existing.map(state -> state.round).orElse(0L)) {
            return new ApplyResult.Stale(claim);
        }
        final Optional<CurrentClaim> earlierClaim = currentClaim(key, timeMillis);
        existing.orElseGet(() -> add(key)).hold(claim, nextOffset - 1);
        return earlierClaim
                .<ApplyResult>map(current -> new ApplyResult.KeyHeld(claim, current))
                .orElse(new ApplyResult.Won(claim));
    }

    private ApplyResult applyToHeldKey(KeyState state, ClaimRecord record) {
        if (record instanceof ClaimRecord.Outcome outcome) {
            final boolean withinLimit = answerBytes + outcome.answer().length <= maxAnswerBytes;
            answerBytes += withinLimit ? outcome.answer().length : 0;
            return state.record(withinLimit ? outcome : outcome.withoutAnswer());
        }
        return state.release();
    }

    private boolean isExpired(IdempotencyKey key, long nowMillis) {
        return key.createdMillis() <= nowMillis - lifetimeMillis;
    }

    private KeyState add(IdempotencyKey key) {
        final KeyState state = new KeyState(key);
        statesByName
                .computeIfAbsent(KeyName.of(key), name -> new ArrayList<>(1))
                .add(state);
        byCreationTime.add(state);
        return state;
    }

    private Optional<KeyState> find(IdempotencyKey key) {
        return states(key).stream()
                .filter(state -> state.key.createdMillis() == key.createdMillis())
                .findFirst();
    }

    private List<KeyState> states(IdempotencyKey key) {
        return statesByName.getOrDefault(KeyName.of(key), List.of());
    }

    private record KeyName(String organisation, String key) {
        static KeyName of(IdempotencyKey key) {
            return new KeyName(key.organisation(), key.key());
        }
    }

    private static final class KeyState {
        private final IdempotencyKey key;
        private long round;
        private long claimOffset;
        private Optional<ClaimRecord.Claim> holdingClaim = Optional.empty();
        private Optional<ClaimRecord.Outcome> outcome = Optional.empty();

        KeyState(IdempotencyKey key) {
            this.key = key;
        }

        boolean isHeldBy(String attemptId) {
            return holdingClaim.isPresent() && holdingClaim.get().attemptId().equals(attemptId);
        }

        CurrentClaim currentClaim() {
            return new CurrentClaim(holdingClaim.orElseThrow(), outcome);
        }

        void hold(ClaimRecord.Claim claim, long offset) {
            holdingClaim = Optional.of(claim);
            claimOffset = offset;
        }

        ApplyResult record(ClaimRecord.Outcome recorded) {
            outcome = Optional.of(recorded);
            return new ApplyResult.OutcomeRecorded(currentClaim());
        }

        ApplyResult release() {
            final ClaimRecord.Claim released = holdingClaim.orElseThrow();
            holdingClaim = Optional.empty();
            round++;
            return new ApplyResult.Released(released);
        }
    }
}
