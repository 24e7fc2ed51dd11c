package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.wire.RunState;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against claims won before they are read back, and against requests left undecided when the log fails. */
class ClaimServiceTest {
    private static final long LIFETIME_MILLIS = 3_600_000;
    private static final String STREAM = "claims-0";
    private static final long LONG_TIMEOUT_MILLIS = 60_000;
    private static final long CONFIRM_TIMEOUT_MILLIS = 20_000;
    private static final long START_NANOS = System.nanoTime();

    private final AtomicLong clockOffsetMillis = new AtomicLong();
    private final FakeEventLog log = new FakeEventLog(this::now);
    private final List<ClaimService> services = new ArrayList<>();

    @AfterEach
    void stop() {
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        log.setReadBehaviour(FakeEventLog.Behaviour.SUCCEED);
        services.forEach(ClaimService::stop);
    }

    @Test
    void shouldNotWinBeforeTheClaimIsReadBack() {
        log.setReadBehaviour(FakeEventLog.Behaviour.HANG);
        final ClaimService service = startService(10);
        final CompletableFuture<ClaimDecision> decision = service.claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS);
        await(() -> log.appendCount() > 0);
        assertThat(decision.isDone()).isFalse();
        log.setReadBehaviour(FakeEventLog.Behaviour.SUCCEED);
        clockOffsetMillis.addAndGet(1_000);
        assertThat(get(decision)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldLetOneEntryWinAndReturnItsClaimToTheOther() {
        final ClaimRequest request = request("k", "b");
        final CompletableFuture<ClaimDecision> firstEntryDecision =
                startService(10).claim(request, now() + LONG_TIMEOUT_MILLIS);
        final CompletableFuture<ClaimDecision> secondEntryDecision =
                startService(10).claim(request, now() + LONG_TIMEOUT_MILLIS);
        final boolean firstEntryWon = get(firstEntryDecision) instanceof ClaimDecision.Won;
        final ClaimDecision.Won won = (ClaimDecision.Won) get(firstEntryWon ? firstEntryDecision : secondEntryDecision);
        assertThat(get(firstEntryWon ? secondEntryDecision : firstEntryDecision))
                .isEqualTo(new ClaimDecision.Stands(won.claim(), Optional.empty()));
    }

    @Test
    void shouldDetectAKeyReusedWithAnotherBody() {
        final ClaimService service = startService(10);
        final ClaimDecision.Won won = claimAndWin(service, "k");
        assertThat(get(service.claim(request("k", "other"), now() + LONG_TIMEOUT_MILLIS)))
                .isEqualTo(new ClaimDecision.BodyDiffers(won.claim()));
    }

    @Test
    void shouldWinOnceWhenAcknowledgementsAreLostOrAppendsDuplicated() {
        final ClaimService service = startService(10);
        log.setAppendBehaviour(FakeEventLog.Behaviour.LOSE_RESPONSE);
        claimAndWin(service, "k1");
        log.setAppendBehaviour(FakeEventLog.Behaviour.DUPLICATE);
        claimAndWin(service, "k2");
        assertThat(get(startService(10).claim(request("k1", "b"), now() + LONG_TIMEOUT_MILLIS)))
                .isInstanceOf(ClaimDecision.Stands.class);
    }

    @Test
    void shouldReportNotRunWhileOnlyAppendsFail() {
        final ClaimService service = startService(10);
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        assertThat(get(service.claim(request("k", "b"), now() + 20)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.NOT_RUN, ClaimDecision.Reason.DEADLINE));
    }

    @Test
    void shouldReportUnknownDuringAnOutageAndRecoverAfterwards() {
        final ClaimService service = startService(10);
        claimAndWin(service, "before");
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        log.setReadBehaviour(FakeEventLog.Behaviour.FAIL);
        final CompletableFuture<ClaimDecision> timedOut = service.claim(request("k", "b"), now() + 20);
        clockOffsetMillis.addAndGet(20 + CONFIRM_TIMEOUT_MILLIS);
        assertThat(get(timedOut))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.DEADLINE));
        assertThat(get(service.claim(request("before", "b"), now() + LONG_TIMEOUT_MILLIS)))
                .isInstanceOf(ClaimDecision.Stands.class);
        final CompletableFuture<ClaimDecision> pending = service.claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS);
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        log.setReadBehaviour(FakeEventLog.Behaviour.SUCCEED);
        assertThat(get(pending)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldRetryLogOperationsThatTimeOut() {
        final ClaimService service = startService(10);
        log.setAppendBehaviour(FakeEventLog.Behaviour.HANG);
        log.setReadBehaviour(FakeEventLog.Behaviour.HANG);
        final CompletableFuture<ClaimDecision> pending = service.claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS);
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        log.setReadBehaviour(FakeEventLog.Behaviour.SUCCEED);
        clockOffsetMillis.addAndGet(1_000);
        assertThat(get(pending)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldLimitPendingRequests() {
        final ClaimService service = startService(1);
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        service.claim(request("k1", "b"), now() + LONG_TIMEOUT_MILLIS);
        assertThat(get(service.claim(request("k2", "b"), now() + LONG_TIMEOUT_MILLIS)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
    }

    @Test
    void shouldBatchClaims() {
        final ClaimService service = startService(1_000);
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        final List<CompletableFuture<ClaimDecision>> decisions = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            decisions.add(service.claim(request("k" + index, "b"), now() + LONG_TIMEOUT_MILLIS));
        }
        log.setAppendBehaviour(FakeEventLog.Behaviour.SUCCEED);
        decisions.forEach(decision -> assertThat(get(decision)).isInstanceOf(ClaimDecision.Won.class));
        assertThat(log.appendCount()).isLessThan(decisions.size() / 2);
    }

    @Test
    void shouldFindTheOutcomeAfterARestart() {
        final ClaimDecision.Won won = claimAndWin(startService(10), "k");
        final ClaimRecord.Outcome outcome = ClaimRecord.Outcome.of(won.claim(), 201, new byte[] {1});
        assertThat(get(services.get(0).record(outcome))).isTrue();
        final ClaimDecision decision = get(startService(10).claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS));
        assertThat(((ClaimDecision.Stands) decision).outcome().orElseThrow().status())
                .isEqualTo(201);
    }

    @Test
    void shouldClaimAgainAfterARelease() {
        final ClaimService service = startService(10);
        final ClaimDecision.Won won = claimAndWin(service, "k");
        assertThat(get(service.release(won.claim(), now() + LONG_TIMEOUT_MILLIS)))
                .isTrue();
        assertThat(claimAndWin(service, "k").claim().round()).isEqualTo(1);
    }

    @Test
    void shouldRejectExpiredKeys() {
        final IdempotencyKey key = new IdempotencyKey("o", "k", now() - LIFETIME_MILLIS);
        assertThat(get(startService(10).claim(new ClaimRequest(key, "b", "s", 1), now() + LONG_TIMEOUT_MILLIS)))
                .isEqualTo(new ClaimDecision.KeyRefused(KeyRejection.TOO_OLD));
    }

    @Test
    void shouldReadOnlyTheKeyLifetimeOfALongLog() {
        log.appendAt(STREAM, now() - 3 * LIFETIME_MILLIS, Collections.nCopies(3_000, new byte[0]));
        log.trim(STREAM, now() - 4 * LIFETIME_MILLIS);
        final ClaimRequest request = request("k", "b");
        log.appendAt(STREAM, now() - 60_000, List.of(request.toClaim("a", 0).encode()));
        final ClaimService service = startService(10);
        assertThat(get(service.claim(request, now() + LONG_TIMEOUT_MILLIS))).isInstanceOf(ClaimDecision.Stands.class);
        assertThat(log.lowestOffsetRead()).isEqualTo(3_000);
    }

    @Test
    void shouldNotDecideOnAStreamThatWasReset() {
        final ClaimService service = startService(10);
        claimAndWin(service, "k1");
        log.setReadBehaviour(FakeEventLog.Behaviour.RESET_STREAM);
        final CompletableFuture<ClaimDecision> pending = service.claim(request("k2", "b"), now() + 20);
        clockOffsetMillis.addAndGet(20 + CONFIRM_TIMEOUT_MILLIS);
        assertThat(((ClaimDecision.Unavailable) get(pending)).runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void shouldReportWhetherThePartitionWasReadToItsTail() {
        final ClaimService service = startService(10);
        final long startMillis = now();
        await(() -> service.hasReachedTailAfter(0, startMillis));
        assertThat(service.hasReachedTailAfter(0, now() + LONG_TIMEOUT_MILLIS)).isFalse();
        assertThat(get(service.lookUp(request("k", "b"))))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.NOT_RUN, ClaimDecision.Reason.DEADLINE));
    }

    @Test
    void shouldCompletePendingRequestsOnStop() {
        final ClaimService service = startService(10);
        log.setAppendBehaviour(FakeEventLog.Behaviour.FAIL);
        log.setReadBehaviour(FakeEventLog.Behaviour.FAIL);
        final CompletableFuture<ClaimDecision> pending = service.claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS);
        clockOffsetMillis.addAndGet(2 * LONG_TIMEOUT_MILLIS);
        service.stop();
        services.remove(service);
        assertThat(((ClaimDecision.Unavailable) get(pending)).runState()).isEqualTo(RunState.UNKNOWN);
        assertThat(get(service.claim(request("k", "b"), now() + LONG_TIMEOUT_MILLIS)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.STOPPING));
    }

    private ClaimService startService(int maxPending) {
        final ClaimSettings settings = new ClaimSettings(
                1, LIFETIME_MILLIS, 1_000, 10_000, maxPending, 5, 64, 50, 20, 50, 10, 500, CONFIRM_TIMEOUT_MILLIS);
        final ClaimService service = new ClaimService(
                log,
                settings,
                this::now,
                new AttemptIdGenerator(
                        this::now, () -> ThreadLocalRandom.current().nextLong()));
        service.start();
        services.add(service);
        return service;
    }

    private ClaimDecision.Won claimAndWin(ClaimService service, String key) {
        return (ClaimDecision.Won) get(service.claim(request(key, "b"), now() + LONG_TIMEOUT_MILLIS));
    }

    private ClaimRequest request(String key, String body) {
        return new ClaimRequest(new IdempotencyKey("o", key, 1_700_000_000_000L), body, "s", 1);
    }

    /** Starts at a fixed time and advances with the real clock, which paces appends and reads. */
    private long now() {
        return 1_700_000_001_000L
                + clockOffsetMillis.get()
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    private static <T> T get(CompletableFuture<T> future) {
        return future.orTimeout(20, TimeUnit.SECONDS).join();
    }

    private static void await(BooleanSupplier condition) {
        final long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }
}
