package org.masticpaddle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a follower that sends no further request after an unexpected error or without an answer. */
class KeyedFollowerFaultTest {
    private static final Duration WAIT = Duration.ofMillis(1_000);
    /** Time without an answer after which a request must have been given up, with the pauses of several attempts. */
    private static final long RECOVERY_MILLIS = 30_000;

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeSharedLog log = new FakeSharedLog(scheduler);
    private final FaultySharedLog faulty = new FaultySharedLog(log);
    private final RecordingListener listener = new RecordingListener();
    private final List<Throwable> errors = new ArrayList<>();
    private final KeyedFollower follower = follower();

    @ParameterizedTest
    @EnumSource(
            value = FaultySharedLog.Fault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"LOSES_HISTORY", "DOES_NOT_HOLD", "DENIES_WHAT_IT_LISTS"})
    void shouldListAgainAfterAListingEndedUnexpectedly(FaultySharedLog.Fault fault) {
        log.put("config", "1");
        faulty.setFault(fault);
        follower.start();
        scheduler.advance(RECOVERY_MILLIS);
        assertThat(listener.events).isEmpty();
        assertThat(errors).isNotEmpty();

        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsExactly("config=1");
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultySharedLog.Fault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"LOSES_HISTORY", "DOES_NOT_HOLD", "DENIES_WHAT_IT_LISTS"})
    void shouldReadAgainAfterAReadEndedUnexpectedly(FaultySharedLog.Fault fault) {
        log.put("config", "1");
        follower.start();
        faulty.setFault(fault);
        scheduler.advance(RECOVERY_MILLIS);
        assertThat(errors).isNotEmpty();
        assertThat(listener.caughtUpMillis).isAtMost(WAIT.toMillis());
        log.put("config", "2");

        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsExactly("config=1", "config=2").inOrder();
        assertThat(listener.caughtUpMillis).isGreaterThan(RECOVERY_MILLIS);
        assertThat(follower.health().outageStartNanos()).isEqualTo(OptionalLong.empty());
    }

    @Test
    void shouldPauseBetweenListingsWhoseHistoryIsLost() {
        log.put("config", "1");
        follower.start();
        faulty.setFault(FaultySharedLog.Fault.LOSES_HISTORY);
        scheduler.advance(RECOVERY_MILLIS);
        log.put("config", "2");
        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsExactly("config=1", "config=2").inOrder();
    }

    @Test
    void shouldPauseBetweenListingsWhoseEndCannotBeRead() {
        log.put("config", "1");
        log.setSlowResponse(5);
        faulty.setFault(FaultySharedLog.Fault.DENIES_WHAT_IT_LISTS);
        follower.start();
        scheduler.advance(10_000);
        assertThat(log.requests()).isAtMost(10_000 / 200);
        log.put("config", "2");
        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);
        assertThat(listener.events).containsAtLeast("config=1", "config=2").inOrder();
    }

    @Test
    void shouldNotConfirmMoreThanALogThatDoesNotHoldReadsHasConfirmed() {
        log.put("config", "1");
        log.setSlowResponse(5);
        faulty.setFault(FaultySharedLog.Fault.DOES_NOT_HOLD);
        follower.start();
        for (int step = 0; step < 100; step++) {
            scheduler.advance(50);
            assertThat(listener.caughtUpMillis).isAtMost(scheduler.nanos() / 1_000_000);
        }
        assertThat(listener.caughtUpMillis).isAtLeast(scheduler.nanos() / 1_000_000 - 500);
        assertThat(log.requests()).isAtMost(60);
    }

    @Test
    void shouldIgnoreTheAnswerOfAListingThatWasGivenUp() {
        log.put("config", "1");
        faulty.setFault(FaultySharedLog.Fault.UNANSWERED);
        follower.start();
        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);
        log.put("config", "2");
        scheduler.advance(10);
        final int requests = log.requests();

        faulty.releaseLateAnswers();

        assertThat(log.requests()).isEqualTo(requests);
        assertThat(follower.position()).isEqualTo(OptionalLong.of(2));
    }

    @Test
    void shouldIgnoreTheAnswerOfAReadThatWasGivenUp() {
        log.put("config", "1");
        follower.start();
        faulty.setFault(FaultySharedLog.Fault.UNANSWERED);
        scheduler.advance(WAIT.toMillis());
        faulty.clearFault();
        scheduler.advance(RECOVERY_MILLIS);
        log.put("config", "2");
        scheduler.advance(10);
        final int requests = log.requests();
        final long caughtUpMillis = listener.caughtUpMillis;

        faulty.releaseLateAnswers();

        assertThat(log.requests()).isEqualTo(requests);
        assertThat(follower.position()).isEqualTo(OptionalLong.of(2));
        assertThat(listener.caughtUpMillis).isEqualTo(caughtUpMillis);
    }

    @ParameterizedTest
    @EnumSource(ListenerError.class)
    void shouldGoOnAfterAnErrorOfTheListener(ListenerError error) {
        log.put("broken", "1");
        log.put("config", "1");
        listener.throwing = error::create;
        follower.start();
        scheduler.advance(RECOVERY_MILLIS);
        log.put("broken", "2");
        log.put("config", "2");
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsAtLeast("config=1", "config=2").inOrder();
        assertThat(errors).isNotEmpty();
        assertThat(listener.caughtUpMillis).isGreaterThan(0);
    }

    @Test
    void shouldDeliverARecordAgainForWhichTheListenerHadNoMemory() {
        log.put("first", "1");
        follower.start();
        scheduler.advance(100);
        log.put("other", "1");
        log.put("broken", "1");
        log.put("other", "2");
        listener.throwing = () -> new OutOfMemoryError("Java heap space");
        scheduler.advance(500);
        assertThat(listener.events).containsExactly("first=1", "other=1").inOrder();
        assertThat(listener.caughtUpMillis).isAtMost(100);

        listener.throwing = () -> null;
        scheduler.advance(500);

        assertThat(listener.events)
                .containsExactly("first=1", "other=1", "broken=1", "other=2")
                .inOrder();
        assertThat(listener.caughtUpMillis).isGreaterThan(100);
    }

    @Test
    void shouldListARecordAgainForWhichTheListenerHadNoMemory() {
        log.put("broken", "1");
        listener.throwing = () -> new OutOfMemoryError("Java heap space");
        follower.start();
        scheduler.advance(200);
        assertThat(follower.position()).isEqualTo(OptionalLong.empty());

        listener.throwing = () -> null;
        scheduler.advance(500);

        assertThat(listener.events).containsExactly("broken=1");
    }

    @ParameterizedTest
    @EnumSource(ListenerError.class)
    void shouldGoOnAfterAnErrorInTheNotificationsOfAnOutage(ListenerError error) {
        listener.throwingOnOutage = error::create;
        log.put("config", "1");
        follower.start();
        log.setUnavailable(true);
        scheduler.advance(RECOVERY_MILLIS);
        log.put("config", "2");
        log.compact();
        log.setUnavailable(false);
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsExactly("config=1", "config=2").inOrder();
    }

    @Test
    void shouldGoOnAfterAnErrorThatCannotBeReported() {
        final KeyedFollower unreported = new KeyedFollower(
                faulty,
                LogStream.OPERATOR,
                ReadTiming.longPoll(WAIT),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(7L),
                listener,
                error -> {
                    throw new OutOfMemoryError("Java heap space");
                });
        log.put("broken", "1");
        log.put("config", "1");
        listener.throwing = () -> new IllegalStateException("broken");
        unreported.start();
        scheduler.advance(RECOVERY_MILLIS);
        log.put("config", "2");
        scheduler.advance(RECOVERY_MILLIS);

        assertThat(listener.events).containsExactly("config=1", "config=2").inOrder();
    }

    private KeyedFollower follower() {
        return new KeyedFollower(
                faulty,
                LogStream.OPERATOR,
                ReadTiming.longPoll(WAIT),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(7L),
                listener,
                errors::add);
    }

    /** What a listener throws. */
    private enum ListenerError {
        EXCEPTION,
        STACK_OVERFLOW,
        LINKAGE,
        MEMORY;

        Throwable create() {
            return switch (this) {
                case EXCEPTION -> new IllegalStateException("broken");
                case STACK_OVERFLOW -> new StackOverflowError();
                case LINKAGE -> new NoClassDefFoundError("broken");
                case MEMORY -> new OutOfMemoryError("Java heap space");
            };
        }
    }

    /** Records what it is told; throws for the key {@code broken} and for outages as told. */
    private static final class RecordingListener implements KeyedFollower.Listener {
        private final List<String> events = new ArrayList<>();
        private Supplier<Throwable> throwing = () -> null;
        private Supplier<Throwable> throwingOnOutage = () -> null;
        private long caughtUpMillis;

        @Override
        public void onRecord(KeyedRecord keyedRecord) {
            if (keyedRecord.key().equals("broken")) {
                throwIfPresent(throwing.get());
            }
            events.add(keyedRecord.key() + "=" + new String(keyedRecord.value(), StandardCharsets.UTF_8));
        }

        @Override
        public void onCaughtUp(long nanos) {
            caughtUpMillis = nanos / 1_000_000;
        }

        @Override
        public void onUnavailable(String reason) {
            throwIfPresent(throwingOnOutage.get());
        }

        @Override
        public void onAvailable() {
            throwIfPresent(throwingOnOutage.get());
        }

        @Override
        public void onHistoryLost() {
            throwIfPresent(throwingOnOutage.get());
        }

        private static void throwIfPresent(Throwable error) {
            if (error instanceof RuntimeException exception) {
                throw exception;
            }
            if (error instanceof Error fatal) {
                throw fatal;
            }
        }
    }
}
