package org.masticpaddle.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;

import static com.google.common.truth.Truth.assertThat;

/** Guards against readers that disagree about the claim that holds a key, and keys that are evicted early or never. */
class ClaimLedgerTest {
    private static final long LIFETIME_MILLIS = 600_000;
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final IdempotencyKey KEY = new IdempotencyKey("o", "k", START_MILLIS);

    private static final byte[] ANSWER = {1};

    private final ClaimLedger ledger = new ClaimLedger(LIFETIME_MILLIS, 3, 2);
    private long offset;

    @Test
    void shouldGiveTheKeyToTheFirstClaim() {
        final ClaimRecord.Claim first = claim(KEY, "a", 0);
        assertThat(apply(first)).isEqualTo(new ApplyResult.Won(first));
        final CurrentClaim current = new CurrentClaim(first, Optional.empty());
        assertThat(apply(claim(KEY, "b", 0))).isEqualTo(new ApplyResult.KeyHeld(claim(KEY, "b", 0), current));
        assertThat(apply(first)).isInstanceOf(ApplyResult.Ignored.class);
        assertThat(ledger.currentClaim(KEY, START_MILLIS)).hasValue(current);
    }

    @Test
    void shouldIgnoreRepeatedAndMalformedRecords() {
        apply(claim(KEY, "a", 0));
        offset = 0;
        assertThat(apply(claim(KEY, "b", 0))).isInstanceOf(ApplyResult.Ignored.class);
        for (final String text : List.of("", "{", "null", "{\"type\":\"claim\"}", "{\"type\":\"other\"}", "[]")) {
            final byte[] data = text.getBytes(StandardCharsets.UTF_8);
            assertThat(ledger.apply(new LogRecord(offset++, START_MILLIS, data)))
                    .isInstanceOf(ApplyResult.Ignored.class);
        }
    }

    @Test
    void shouldRejectAClaimOfAnEarlierRoundAfterARelease() {
        final ClaimRecord.Claim first = claim(KEY, "a", 0);
        apply(first);
        assertThat(apply(new ClaimRecord.Release(KEY, "b"))).isInstanceOf(ApplyResult.Ignored.class);
        assertThat(apply(new ClaimRecord.Release(KEY, "a"))).isEqualTo(new ApplyResult.Released(first));
        assertThat(apply(first)).isEqualTo(new ApplyResult.Stale(first));
        assertThat(ledger.currentClaim(KEY, START_MILLIS)).isEmpty();
        assertThat(apply(claim(KEY, "c", ledger.round(KEY)))).isInstanceOf(ApplyResult.Won.class);
    }

    @Test
    void shouldKeepTheFirstOutcomeAndIgnoreALaterRelease() {
        final ClaimRecord.Claim first = claim(KEY, "a", 0);
        apply(first);
        apply(ClaimRecord.Outcome.of(first, 200, new byte[] {1}));
        apply(ClaimRecord.Outcome.of(first, 500, new byte[0]));
        apply(new ClaimRecord.Release(KEY, "a"));
        final CurrentClaim current = ledger.currentClaim(KEY, START_MILLIS).orElseThrow();
        assertThat(current.outcome().orElseThrow().status()).isEqualTo(200);
        assertThat(current.outcome().orElseThrow().answer()).isEqualTo(new byte[] {1});
    }

    @Test
    void shouldHoldOutcomesWithoutAnswersBeyondTheTotalAnswerLimit() {
        for (final String name : List.of("k", "l")) {
            final ClaimRecord.Claim claim = claim(new IdempotencyKey("o", name, START_MILLIS), name, 0);
            apply(claim);
            apply(ClaimRecord.Outcome.of(claim, 200, new byte[2]));
        }
        final IdempotencyKey second = new IdempotencyKey("o", "l", START_MILLIS);
        assertThat(ledger.currentClaim(KEY, START_MILLIS)
                        .orElseThrow()
                        .outcome()
                        .orElseThrow()
                        .complete())
                .isTrue();
        assertThat(ledger.currentClaim(second, START_MILLIS)
                        .orElseThrow()
                        .outcome()
                        .orElseThrow()
                        .complete())
                .isFalse();
    }

    @Test
    void shouldDropAnAnswerAboveTheRecordLimit() {
        final ClaimRecord.Claim claim = claim(KEY, "a", 0);
        assertThat(ClaimRecord.Outcome.of(claim, 200, new byte[4096]).complete())
                .isTrue();
        final ClaimRecord.Outcome withoutAnswer = ClaimRecord.Outcome.of(claim, 200, new byte[4097]);
        assertThat(withoutAnswer.complete()).isFalse();
        assertThat(withoutAnswer.answer()).isEmpty();
    }

    @Test
    void shouldNotWinUnderAnotherCreationTimeWhileAnEarlierClaimHoldsTheKey() {
        final ClaimRecord.Claim first = claim(KEY, "a", 0);
        apply(first);
        final ClaimRecord.Claim other = claim(new IdempotencyKey("o", "k", START_MILLIS + 5), "b", 0);
        assertThat(apply(other)).isEqualTo(new ApplyResult.KeyHeld(other, new CurrentClaim(first, Optional.empty())));
        assertThat(ledger.currentClaim(other.key(), START_MILLIS).orElseThrow().claim())
                .isEqualTo(first);
        assertThat(apply(claim(new IdempotencyKey("p", "k", START_MILLIS), "c", 0)))
                .isInstanceOf(ApplyResult.Won.class);
    }

    @Test
    void shouldIgnoreClaimsOutsideTheLifetimeAndEvictExpiredKeys() {
        assertThat(ledger.apply(record(claim(KEY, "late", 0), START_MILLIS + LIFETIME_MILLIS)))
                .isInstanceOf(ApplyResult.OutsideLifetime.class);
        apply(claim(KEY, "a", 0));
        ledger.evictExpired(START_MILLIS + LIFETIME_MILLIS + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS - 1);
        assertThat(ledger.size()).isEqualTo(1);
        assertThat(ledger.currentClaim(KEY, START_MILLIS + LIFETIME_MILLIS)).isEmpty();
        assertThat(ledger.isCompleteFor(KEY, START_MILLIS + LIFETIME_MILLIS)).isFalse();
        ledger.evictExpired(START_MILLIS + LIFETIME_MILLIS + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS);
        assertThat(ledger.size()).isEqualTo(0);
    }

    @Test
    void shouldLeaveNewKeysUntrackedWhenFull() {
        apply(claim(KEY, "a", 0));
        apply(claim(new IdempotencyKey("o", "l", START_MILLIS), "b", 0));
        apply(claim(new IdempotencyKey("p", "l", START_MILLIS), "b", 0));
        final IdempotencyKey next = new IdempotencyKey("o", "m", START_MILLIS + 1);
        assertThat(apply(claim(next, "c", 0))).isInstanceOf(ApplyResult.Untracked.class);
        assertThat(ledger.isCompleteFor(next, START_MILLIS)).isFalse();
        assertThat(ledger.isCompleteFor(KEY, START_MILLIS)).isTrue();
        ledger.evictExpired(START_MILLIS + LIFETIME_MILLIS + ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS);
        assertThat(apply(claim(next, "d", 0))).isInstanceOf(ApplyResult.Untracked.class);
        assertThat(apply(claim(new IdempotencyKey("o", "m", START_MILLIS + 2), "e", 0)))
                .isInstanceOf(ApplyResult.Won.class);
    }

    @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldReachTheSameStateFromAnyStartOffset(@ForAll long seed) {
        final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        final InMemoryLogStream log = new InMemoryLogStream();
        final List<IdempotencyKey> keys = new ArrayList<>();
        long nowMillis = START_MILLIS;
        for (int step = 0; step < 300; step++) {
            nowMillis += random.nextInt((int) LIFETIME_MILLIS / 30);
            if (step % 10 == 0) {
                keys.add(new IdempotencyKey("o", "k" + step, nowMillis + random.nextInt(120_000) - 60_000));
            }
            final IdempotencyKey key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(4)));
            final String attempt = "a" + random.nextInt(3);
            final ClaimRecord.Claim claim = claim(key, attempt, random.nextInt(2));
            final List<ClaimRecord> choices = List.of(
                    claim, claim, new ClaimRecord.Release(key, attempt), ClaimRecord.Outcome.of(claim, 200, ANSWER));
            log.append(List.of(choices.get(random.nextInt(4)).encode()), nowMillis);
        }
        final ClaimLedger fromStart = new ClaimLedger(LIFETIME_MILLIS, 1_000, 1_000);
        log.history().forEach(fromStart::apply);
        log.trim(nowMillis - LIFETIME_MILLIS - ClaimLedger.CLOCK_SKEW_MARGIN_MILLIS);
        final ClaimLedger fromTrimmedStart = new ClaimLedger(LIFETIME_MILLIS, 1_000, 1_000);
        log.read(0, 1_000).records().forEach(fromTrimmedStart::apply);
        for (final IdempotencyKey key : keys) {
            assertThat(describe(fromTrimmedStart, key, nowMillis)).isEqualTo(describe(fromStart, key, nowMillis));
        }
    }

    @Test
    void shouldFindTheStartOfTheLifetimeInATrimmedLog() {
        for (int trimmed = 0; trimmed <= 20; trimmed++) {
            for (int searched = 0; searched <= 21; searched++) {
                final InMemoryLogStream log = new InMemoryLogStream();
                for (int index = 0; index < 20; index++) {
                    log.append(List.of(new byte[0]), index);
                }
                log.trim(trimmed);
                final StartSearch search = new StartSearch(searched);
                while (!search.isFound()) {
                    final LogPage page = log.read(search.nextOffset(), 1);
                    search.accept(page);
                }
                assertThat(search.nextOffset()).isEqualTo(Math.min(20, Math.max(trimmed, searched)));
            }
        }
    }

    private static String describe(ClaimLedger ledger, IdempotencyKey key, long nowMillis) {
        return ledger.isCompleteFor(key, nowMillis)
                ? ledger.round(key)
                        + ledger.currentClaim(key, nowMillis)
                                .map(current -> current.claim().attemptId()
                                        + current.outcome().isPresent())
                                .orElse("")
                : "";
    }

    private ApplyResult apply(ClaimRecord record) {
        return ledger.apply(record(record, START_MILLIS));
    }

    private LogRecord record(ClaimRecord record, long timeMillis) {
        return new LogRecord(offset++, timeMillis, record.encode());
    }

    private static ClaimRecord.Claim claim(IdempotencyKey key, String attemptId, long round) {
        return new ClaimRecord.Claim(key, "body", attemptId, round, "s", 7);
    }
}
