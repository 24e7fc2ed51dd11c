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

/** Guards against a claim won without proof, and against requests left without a decision when the log misbehaves. */
class ClaimServiceTest {
    private static final long LIFETIME = 3_600_000;
    private static final String STREAM = "claims-0";
    private static final long FAR = 60_000;
    private static final long CONFIRM = 20_000;
    private static final long START = System.nanoTime();

    private final AtomicLong shift = new AtomicLong();
    private final FakeEventLog log = new FakeEventLog(this::now);
    private final List<ClaimService> services = new ArrayList<>();

    @AfterEach
    void stop() {
        log.appending(FakeEventLog.Behaviour.WORK);
        log.reading(FakeEventLog.Behaviour.WORK);
        services.forEach(ClaimService::stop);
    }

    @Test
    void shouldNotWinOnTheAcknowledgementAlone() {
        log.reading(FakeEventLog.Behaviour.HANG);
        final ClaimService service = service(10);
        final CompletableFuture<ClaimDecision> decision = service.claim(request("k", "b"), now() + FAR);
        until(() -> log.appends() > 0);
        assertThat(decision.isDone()).isFalse();
        log.reading(FakeEventLog.Behaviour.WORK);
        shift.addAndGet(1_000);
        assertThat(get(decision)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldLetOneEntryWinAndNameItsAttemptToTheOther() {
        final ClaimRequest request = request("k", "b");
        final CompletableFuture<ClaimDecision> one = service(10).claim(request, now() + FAR);
        final CompletableFuture<ClaimDecision> two = service(10).claim(request, now() + FAR);
        final boolean first = get(one) instanceof ClaimDecision.Won;
        final ClaimDecision.Won won = (ClaimDecision.Won) get(first ? one : two);
        assertThat(get(first ? two : one)).isEqualTo(new ClaimDecision.Stands(won.claim(), Optional.empty()));
    }

    @Test
    void shouldTellAReusedKeyByItsBody() {
        final ClaimService service = service(10);
        final ClaimDecision.Won won = won(service, "k");
        assertThat(get(service.claim(request("k", "other"), now() + FAR)))
                .isEqualTo(new ClaimDecision.BodyDiffers(won.claim()));
    }

    @Test
    void shouldWinOnceWhenAcknowledgementsAreLostOrAppendsRepeated() {
        final ClaimService service = service(10);
        log.appending(FakeEventLog.Behaviour.LOSE_ANSWER);
        won(service, "k1");
        log.appending(FakeEventLog.Behaviour.REPEAT);
        won(service, "k2");
        assertThat(get(service(10).claim(request("k1", "b"), now() + FAR))).isInstanceOf(ClaimDecision.Stands.class);
    }

    @Test
    void shouldProveThatAKeyDidNotRunWhileOnlyAppendsFail() {
        final ClaimService service = service(10);
        log.appending(FakeEventLog.Behaviour.FAIL);
        assertThat(get(service.claim(request("k", "b"), now() + 20)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.NOT_RUN, ClaimDecision.Reason.DEADLINE));
    }

    @Test
    void shouldSayUnknownDuringAnOutageAndRecoverAfterwards() {
        final ClaimService service = service(10);
        won(service, "before");
        log.appending(FakeEventLog.Behaviour.FAIL);
        log.reading(FakeEventLog.Behaviour.FAIL);
        final CompletableFuture<ClaimDecision> late = service.claim(request("k", "b"), now() + 20);
        shift.addAndGet(20 + CONFIRM);
        assertThat(get(late)).isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.DEADLINE));
        assertThat(get(service.claim(request("before", "b"), now() + FAR))).isInstanceOf(ClaimDecision.Stands.class);
        final CompletableFuture<ClaimDecision> waiting = service.claim(request("k", "b"), now() + FAR);
        log.appending(FakeEventLog.Behaviour.WORK);
        log.reading(FakeEventLog.Behaviour.WORK);
        assertThat(get(waiting)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldRepeatCallsThatNeverEnd() {
        final ClaimService service = service(10);
        log.appending(FakeEventLog.Behaviour.HANG);
        log.reading(FakeEventLog.Behaviour.HANG);
        final CompletableFuture<ClaimDecision> waiting = service.claim(request("k", "b"), now() + FAR);
        log.appending(FakeEventLog.Behaviour.WORK);
        log.reading(FakeEventLog.Behaviour.WORK);
        shift.addAndGet(1_000);
        assertThat(get(waiting)).isInstanceOf(ClaimDecision.Won.class);
    }

    @Test
    void shouldBoundTheRequestsThatWait() {
        final ClaimService service = service(1);
        log.appending(FakeEventLog.Behaviour.FAIL);
        service.claim(request("k1", "b"), now() + FAR);
        assertThat(get(service.claim(request("k2", "b"), now() + FAR)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
    }

    @Test
    void shouldAppendManyClaimsAtOnce() {
        final ClaimService service = service(1_000);
        log.appending(FakeEventLog.Behaviour.FAIL);
        final List<CompletableFuture<ClaimDecision>> decisions = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            decisions.add(service.claim(request("k" + index, "b"), now() + FAR));
        }
        log.appending(FakeEventLog.Behaviour.WORK);
        decisions.forEach(decision -> assertThat(get(decision)).isInstanceOf(ClaimDecision.Won.class));
        assertThat(log.appends()).isLessThan(decisions.size() / 2);
    }

    @Test
    void shouldFindTheOutcomeAfterARestart() {
        final ClaimDecision.Won won = won(service(10), "k");
        final ClaimRecord.Outcome outcome = ClaimRecord.Outcome.of(won.claim(), 201, new byte[] {1});
        assertThat(get(services.get(0).record(outcome))).isTrue();
        final ClaimDecision decision = get(service(10).claim(request("k", "b"), now() + FAR));
        assertThat(((ClaimDecision.Stands) decision).outcome().orElseThrow().status())
                .isEqualTo(201);
    }

    @Test
    void shouldWinAgainAfterARelease() {
        final ClaimService service = service(10);
        final ClaimDecision.Won won = won(service, "k");
        assertThat(get(service.release(won.claim(), now() + FAR))).isTrue();
        assertThat(won(service, "k").claim().round()).isEqualTo(1);
    }

    @Test
    void shouldRefuseOldKeys() {
        final IdempotencyKey key = new IdempotencyKey("o", "k", now() - LIFETIME);
        assertThat(get(service(10).claim(new ClaimRequest(key, "b", "s", 1), now() + FAR)))
                .isEqualTo(new ClaimDecision.KeyRefused(KeyRejection.TOO_OLD));
    }

    @Test
    void shouldReadOnlyTheKeyLifetimeOfALongLog() {
        log.put(STREAM, now() - 3 * LIFETIME, Collections.nCopies(3_000, new byte[0]));
        log.trim(STREAM, now() - 4 * LIFETIME);
        final ClaimRequest request = request("k", "b");
        log.put(STREAM, now() - 60_000, List.of(request.claim("a", 0).encode()));
        final ClaimService service = service(10);
        assertThat(get(service.claim(request, now() + FAR))).isInstanceOf(ClaimDecision.Stands.class);
        assertThat(log.lowestOffsetRead()).isEqualTo(3_000);
    }

    @Test
    void shouldNotDecideOnAStreamThatStartedAnew() {
        final ClaimService service = service(10);
        won(service, "k1");
        log.reading(FakeEventLog.Behaviour.RESTART);
        final CompletableFuture<ClaimDecision> waiting = service.claim(request("k2", "b"), now() + 20);
        shift.addAndGet(20 + CONFIRM);
        assertThat(((ClaimDecision.Unavailable) get(waiting)).runState()).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void shouldReportHowFarAPartitionWasRead() {
        final ClaimService service = service(10);
        final long before = now();
        until(() -> service.readToTailAfter(0, before));
        assertThat(service.readToTailAfter(0, now() + FAR)).isFalse();
        assertThat(get(service.lookUp(request("k", "b"))))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.NOT_RUN, ClaimDecision.Reason.DEADLINE));
    }

    @Test
    void shouldAnswerWhatWaitsWhenItStops() {
        final ClaimService service = service(10);
        log.appending(FakeEventLog.Behaviour.FAIL);
        log.reading(FakeEventLog.Behaviour.FAIL);
        final CompletableFuture<ClaimDecision> waiting = service.claim(request("k", "b"), now() + FAR);
        shift.addAndGet(2 * FAR);
        service.stop();
        services.remove(service);
        assertThat(((ClaimDecision.Unavailable) get(waiting)).runState()).isEqualTo(RunState.UNKNOWN);
        assertThat(get(service.claim(request("k", "b"), now() + FAR)))
                .isEqualTo(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.STOPPING));
    }

    private ClaimService service(int maxWaiting) {
        final ClaimSettings settings =
                new ClaimSettings(1, LIFETIME, 1_000, 10_000, maxWaiting, 5, 64, 50, 20, 50, 10, 500, CONFIRM);
        final ClaimService service = new ClaimService(
                log,
                settings,
                this::now,
                new AttemptIdGenerator(this::now, () -> ThreadLocalRandom.current().nextLong()));
        service.start();
        services.add(service);
        return service;
    }

    private ClaimDecision.Won won(ClaimService service, String key) {
        return (ClaimDecision.Won) get(service.claim(request(key, "b"), now() + FAR));
    }

    private ClaimRequest request(String key, String body) {
        return new ClaimRequest(new IdempotencyKey("o", key, 1_700_000_000_000L), body, "s", 1);
    }

    /** Starts at a fixed date and runs with the real clock, since appends and reads are paced by it. */
    private long now() {
        return 1_700_000_001_000L + shift.get() + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START);
    }

    private static <T> T get(CompletableFuture<T> future) {
        return future.orTimeout(20, TimeUnit.SECONDS).join();
    }

    private static void until(BooleanSupplier condition) {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertTrue(condition.getAsBoolean());
    }
}
