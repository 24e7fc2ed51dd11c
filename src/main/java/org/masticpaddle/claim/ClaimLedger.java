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
 * Fold of one claim partition in log order, which decides the claim that holds each key.
 *
 * <p>Invariants: all readers of a partition agree on every key within its lifetime, wherever they started to read, if
 * they started no later than the start of the key lifetime less {@link #CLOCK_SKEW_MARGIN_MILLIS}. The claims of one creation time
 * are decided among themselves only; that a key was claimed under another creation time is seen as {@link ApplyResult.KeyHeld}
 * and keeps the later claim from being won. Not thread-safe.
 */
public final class ClaimLedger {
    /**
     * Tolerance around the key lifetime in milliseconds: a minute that a key may be created in the future, and a minute
     * between the clocks of entries and of the log.
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
     * @param maxKeys keys held at most; a claim beyond is never won rather than another key forgotten early
     * @param maxAnswerBytes total of the answers held; an outcome beyond is held without its answer
     */
    public ClaimLedger(long lifetimeMillis, int maxKeys, long maxAnswerBytes) {
        this.lifetimeMillis = lifetimeMillis;
        this.maxKeys = maxKeys;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Returns the offset of the next record to fold.
     *
     * @return offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Skips records that the log no longer keeps or that precede the start of the key lifetime.
     *
     * @param offset offset of the next record to fold; ignored if it is below {@link #nextOffset()}
     */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Returns the number of keys held.
     *
     * @return number of keys
     */
    public int size() {
        return byCreationTime.size();
    }

    /**
     * Folds the next record.
     *
     * @param record record of the partition; one below {@link #nextOffset()} is ignored
     * @return the effect
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
     * Finds the claim that holds a key, under whatever creation time it was made.
     *
     * @param key the key
     * @param nowMillis time in milliseconds since 1970, used to leave out claims past their lifetime
     * @return the claim and its outcome
     */
    public Optional<CurrentClaim> currentClaim(IdempotencyKey key, long nowMillis) {
        return states(key).stream()
                .filter(state -> state.holder.isPresent() && !isExpired(state.key, nowMillis))
                .min(Comparator.comparingLong(state -> state.claimOffset))
                .map(KeyState::currentClaim);
    }

    /**
     * Returns the round that a new claim of a key must carry.
     *
     * @param key the key
     * @return number of releases read
     */
    public long round(IdempotencyKey key) {
        return find(key).map(state -> state.round).orElse(0L);
    }

    /**
     * Tells whether an attempt holds its key.
     *
     * @param claim claim of the attempt
     * @return {@code true} if it was won and not released
     */
    public boolean isCurrent(ClaimRecord.Claim claim) {
        return find(claim.key())
                .filter(state -> state.isHeldBy(claim.attemptId()))
                .isPresent();
    }

    /**
     * Tells whether this ledger would know of every claim that may have won a key.
     *
     * @param key the key
     * @param nowMillis time in milliseconds since 1970
     * @return {@code false} if the key is past its lifetime, or a claim of it may have been left out while the ledger was
     *     full
     */
    public boolean isCompleteFor(IdempotencyKey key, long nowMillis) {
        return !isExpired(key, nowMillis)
                && (key.createdMillis() > latestUntrackedMillis || find(key).isPresent());
    }

    /**
     * Forgets the keys past their lifetime.
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
        final Optional<KeyState> known = find(key);
        if (known.isEmpty() && (key.createdMillis() <= latestUntrackedMillis || byCreationTime.size() >= maxKeys)) {
            latestUntrackedMillis = Math.max(latestUntrackedMillis, key.createdMillis());
            return new ApplyResult.Untracked(claim);
        }
        if (known.isPresent() && known.get().holder.isPresent()) {
            final KeyState state = known.get();
            return state.isHeldBy(claim.attemptId()) ? IGNORED : new ApplyResult.KeyHeld(claim, state.currentClaim());
        }
        if (claim.round() != known.map(state -> state.round).orElse(0L)) {
            return new ApplyResult.Stale(claim);
        }
        final Optional<CurrentClaim> other = currentClaim(key, timeMillis);
        known.orElseGet(() -> add(key)).hold(claim, nextOffset - 1);
        return other.<ApplyResult>map(standing -> new ApplyResult.KeyHeld(claim, standing))
                .orElse(new ApplyResult.Won(claim));
    }

    private ApplyResult applyToHeldKey(KeyState state, ClaimRecord record) {
        if (record instanceof ClaimRecord.Outcome outcome) {
            final boolean fits = answerBytes + outcome.answer().length <= maxAnswerBytes;
            answerBytes += fits ? outcome.answer().length : 0;
            return state.record(fits ? outcome : outcome.withoutAnswer());
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
        private Optional<ClaimRecord.Claim> holder = Optional.empty();
        private Optional<ClaimRecord.Outcome> outcome = Optional.empty();

        KeyState(IdempotencyKey key) {
            this.key = key;
        }

        boolean isHeldBy(String attemptId) {
            return holder.isPresent() && holder.get().attemptId().equals(attemptId);
        }

        CurrentClaim currentClaim() {
            return new CurrentClaim(holder.orElseThrow(), outcome);
        }

        void hold(ClaimRecord.Claim claim, long at) {
            holder = Optional.of(claim);
            claimOffset = at;
        }

        ApplyResult record(ClaimRecord.Outcome result) {
            outcome = Optional.of(result);
            return new ApplyResult.OutcomeRecorded(currentClaim());
        }

        ApplyResult release() {
            final ClaimRecord.Claim released = holder.orElseThrow();
            holder = Optional.empty();
            round++;
            return new ApplyResult.Released(released);
        }
    }
}
