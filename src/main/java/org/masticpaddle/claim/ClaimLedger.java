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
 * they started no later than the start of the key lifetime less {@link #MARGIN_MILLIS}. The claims of one creation time
 * are decided among themselves only; that a key was claimed under another creation time is seen as {@link Fold.Behind}
 * and keeps the later claim from being won. Not thread-safe.
 */
public final class ClaimLedger {
    /**
     * Tolerance around the key lifetime in milliseconds: a minute that a key may be created in the future, and a minute
     * between the clocks of entries and of the log.
     */
    public static final long MARGIN_MILLIS = 120_000;

    private static final Fold IGNORED = new Fold.Ignored();

    private final long lifetimeMillis;
    private final int maxKeys;
    private final long maxAnswerBytes;
    private final Map<Name, List<KeyState>> names = new HashMap<>();
    private final PriorityQueue<KeyState> oldest =
            new PriorityQueue<>(Comparator.comparingLong(state -> state.key.createdMillis()));
    private long next;
    private long answerBytes;
    private long untrackedMillis = Long.MIN_VALUE;

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
    public long next() {
        return next;
    }

    /**
     * Skips records that the log no longer keeps or that precede the start of the key lifetime.
     *
     * @param offset offset of the next record to fold; ignored if it is below {@link #next()}
     */
    public void skipTo(long offset) {
        next = Math.max(next, offset);
    }

    /**
     * Returns the number of keys held.
     *
     * @return number of keys
     */
    public int size() {
        return oldest.size();
    }

    /**
     * Folds the next record.
     *
     * @param record record of the partition; one below {@link #next()} is ignored
     * @return the effect
     */
    public Fold apply(LogRecord record) {
        Objects.requireNonNull(record, "record is null");
        if (record.offset() < next) {
            return IGNORED;
        }
        next = record.offset() + 1;
        forget(record.timeMillis());
        final Optional<ClaimRecord> decoded = ClaimRecord.decode(record.data());
        if (decoded.isEmpty()) {
            return IGNORED;
        }
        if (decoded.get() instanceof ClaimRecord.Claim claim) {
            return claim(claim, record.timeMillis());
        }
        return find(decoded.get().key())
                .filter(state -> state.heldBy(decoded.get().attemptId()) && state.outcome.isEmpty())
                .map(state -> end(state, decoded.get()))
                .orElse(IGNORED);
    }

    /**
     * Finds the claim that holds a key, under whatever creation time it was made.
     *
     * @param key the key
     * @param nowMillis time in milliseconds since 1970, used to leave out claims past their lifetime
     * @return the claim and its outcome
     */
    public Optional<Standing> standing(IdempotencyKey key, long nowMillis) {
        return states(key).stream()
                .filter(state -> state.live.isPresent() && !expired(state.key, nowMillis))
                .min(Comparator.comparingLong(state -> state.offset))
                .map(KeyState::standing);
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
    public boolean holds(ClaimRecord.Claim claim) {
        return find(claim.key())
                .filter(state -> state.heldBy(claim.attemptId()))
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
    public boolean covers(IdempotencyKey key, long nowMillis) {
        return !expired(key, nowMillis)
                && (key.createdMillis() > untrackedMillis || find(key).isPresent());
    }

    /**
     * Forgets the keys past their lifetime.
     *
     * @param nowMillis time in milliseconds since 1970
     */
    public void forget(long nowMillis) {
        while (!oldest.isEmpty() && expired(oldest.peek().key, nowMillis - MARGIN_MILLIS)) {
            final KeyState state = oldest.poll();
            answerBytes -= state.outcome.map(outcome -> outcome.answer().length).orElse(0);
            final Name name = Name.of(state.key);
            final List<KeyState> states = names.get(name);
            states.remove(state);
            if (states.isEmpty()) {
                names.remove(name);
            }
        }
    }

    private Fold claim(ClaimRecord.Claim claim, long timeMillis) {
        final IdempotencyKey key = claim.key();
        if (expired(key, timeMillis) || key.createdMillis() > timeMillis + MARGIN_MILLIS) {
            return new Fold.OutsideLifetime(claim);
        }
        final Optional<KeyState> known = find(key);
        if (known.isEmpty() && (key.createdMillis() <= untrackedMillis || oldest.size() >= maxKeys)) {
            untrackedMillis = Math.max(untrackedMillis, key.createdMillis());
            return new Fold.Untracked(claim);
        }
        if (known.isPresent() && known.get().live.isPresent()) {
            final KeyState state = known.get();
            return state.heldBy(claim.attemptId()) ? IGNORED : new Fold.Behind(claim, state.standing());
        }
        if (claim.round() != known.map(state -> state.round).orElse(0L)) {
            return new Fold.Stale(claim);
        }
        final Optional<Standing> other = standing(key, timeMillis);
        known.orElseGet(() -> add(key)).hold(claim, next - 1);
        return other.<Fold>map(standing -> new Fold.Behind(claim, standing)).orElse(new Fold.Won(claim));
    }

    private Fold end(KeyState state, ClaimRecord record) {
        if (record instanceof ClaimRecord.Outcome outcome) {
            final boolean fits = answerBytes + outcome.answer().length <= maxAnswerBytes;
            answerBytes += fits ? outcome.answer().length : 0;
            return state.record(fits ? outcome : outcome.withoutAnswer());
        }
        return state.release();
    }

    private boolean expired(IdempotencyKey key, long nowMillis) {
        return key.createdMillis() <= nowMillis - lifetimeMillis;
    }

    private KeyState add(IdempotencyKey key) {
        final KeyState state = new KeyState(key);
        names.computeIfAbsent(Name.of(key), name -> new ArrayList<>(1)).add(state);
        oldest.add(state);
        return state;
    }

    private Optional<KeyState> find(IdempotencyKey key) {
        return states(key).stream()
                .filter(state -> state.key.createdMillis() == key.createdMillis())
                .findFirst();
    }

    private List<KeyState> states(IdempotencyKey key) {
        return names.getOrDefault(Name.of(key), List.of());
    }

    private record Name(String organisation, String key) {
        static Name of(IdempotencyKey key) {
            return new Name(key.organisation(), key.key());
        }
    }

    private static final class KeyState {
        private final IdempotencyKey key;
        private long round;
        private long offset;
        private Optional<ClaimRecord.Claim> live = Optional.empty();
        private Optional<ClaimRecord.Outcome> outcome = Optional.empty();

        KeyState(IdempotencyKey key) {
            this.key = key;
        }

        boolean heldBy(String attemptId) {
            return live.isPresent() && live.get().attemptId().equals(attemptId);
        }

        Standing standing() {
            return new Standing(live.orElseThrow(), outcome);
        }

        void hold(ClaimRecord.Claim claim, long at) {
            live = Optional.of(claim);
            offset = at;
        }

        Fold record(ClaimRecord.Outcome result) {
            outcome = Optional.of(result);
            return new Fold.Recorded(standing());
        }

        Fold release() {
            final ClaimRecord.Claim released = live.orElseThrow();
            live = Optional.empty();
            round++;
            return new Fold.Released(released);
        }
    }
}
