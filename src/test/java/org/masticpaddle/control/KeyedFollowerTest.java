package org.masticpaddle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.google.common.collect.Range;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a gateway that misses a change, reverts to an older record, or considers its state current during an
 * outage of the log.
 */
class KeyedFollowerTest {
    private static final Duration WAIT = Duration.ofMillis(1_000);

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeSharedLog log = new FakeSharedLog(scheduler);
    private final List<String> events = new ArrayList<>();
    private long caughtUpMillis = -1;
    private final KeyedFollower follower = followerOf(log);

    @Test
    void shouldReadLaterRecordsAfterListingTheNewestOnes() {
        log.put("config", "1");
        log.put("config", "2");
        follower.start();
        log.put("config", "3");
        scheduler.advance(1_001);
        assertThat(events).containsExactly("regained", "config=2", "config=3").inOrder();
    }

    @Test
    void shouldGoOnAfterARecordThatTheListenerCannotHandle() {
        log.put("broken", "listed");
        log.put("config", "1");
        follower.start();
        log.put("broken", "read");
        log.put("config", "2");
        scheduler.advance(10);
        log.put("config", "3");
        scheduler.advance(10);
        assertThat(events)
                .containsExactly("regained", "error: broken", "config=1", "error: broken", "config=2", "config=3")
                .inOrder();
    }

    @Test
    void shouldBeCaughtUpWhenAnEmptyReadReturns() {
        log.put("config", "1");
        follower.start();
        scheduler.advance(1_000);
        assertThat(caughtUpMillis).isEqualTo(1_000);
    }

    @Test
    void shouldNotBeCaughtUpDuringAnOutage() {
        log.put("config", "1");
        follower.start();
        log.setUnavailable(true);
        scheduler.advance(5_000);
        assertThat(caughtUpMillis).isEqualTo(1_000);
        log.setUnavailable(false);
        scheduler.advance(2_000);
        assertThat(caughtUpMillis).isAtLeast(5_500);
        assertThat(events).containsAtLeast("lost", "regained").inOrder();
    }

    @Test
    void shouldTellWhereItStandsAndSinceWhenRequestsFail() {
        log.put("config", "1");
        assertThat(follower.health().position()).isEqualTo(OptionalLong.empty());
        follower.start();
        scheduler.advance(1_000);
        assertThat(follower.health().position()).isEqualTo(OptionalLong.of(1));
        assertThat(follower.health().lastResponseNanos()).isEqualTo(OptionalLong.of(1_000_000_000L));
        assertThat(follower.health().outageStartNanos()).isEqualTo(OptionalLong.empty());
        log.setUnavailable(true);
        scheduler.advance(5_000);
        assertThat(follower.health().outageStartNanos()).isEqualTo(OptionalLong.of(2_000_000_000L));
        log.setUnavailable(false);
        scheduler.advance(1_000);
        assertThat(follower.health().outageStartNanos()).isEqualTo(OptionalLong.empty());
    }

    @Test
    void shouldDropKeysWhoseTombstonesWereDeleted() {
        log.put("a", "1");
        log.put("b", "1");
        follower.start();
        log.setUnavailable(true);
        scheduler.advance(2_000);
        log.put("a", "");
        log.put("b", "2");
        log.compact();
        log.setUnavailable(false);
        scheduler.advance(1_500);
        assertThat(events).containsAtLeast("b=2", "a=").inOrder();
    }

    @Test
    void shouldNeverDeliverAnOlderRecordAgain() {
        log.put("config", "1");
        follower.start();
        scheduler.advance(1_500);
        log.compact();
        scheduler.advance(3_000);
        assertThat(events).containsExactly("regained", "config=1");
    }

    /** The record that was lost and the one in its place have the same offset. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldDeliverARecordAtAnOffsetThatWasGivenOutBefore(boolean namesEra) {
        restoreFrom(namesEra, 1);
        log.put("config", "3");
        scheduler.advance(3_000);
        assertThat(events)
                .containsExactly(
                        "regained", "config=1", "config=2", "lost", "regained", "restored", "config=1", "config=3")
                .inOrder();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldDeliverRecordsBelowThePositionThatWasReadBefore(boolean namesEra) {
        restoreFrom(namesEra, 1, () -> {
            log.put("config", "3");
            log.put("other", "1");
            log.put("other", "2");
        });
        scheduler.advance(3_000);
        assertThat(events).containsAtLeast("restored", "config=3", "other=2").inOrder();
        assertThat(events).doesNotContain("other=");
    }

    /** The follower was frozen or cut off, so that it saw neither the outage nor an answer in it. */
    @Test
    void shouldNoticeAnEraByTheAnswerToAReadThatWasHeldMeanwhile() {
        log.nameEras();
        log.put("config", "1");
        follower.start();
        log.put("config", "2");
        scheduler.advance(10);
        log.restore(1);
        log.put("config", "3");
        log.put("config", "4");
        scheduler.advance(3_000);
        assertThat(events)
                .containsExactly("regained", "config=1", "config=2", "restored", "config=4")
                .inOrder();
    }

    @Test
    void shouldNoticeAnEraThatAnotherStreamHasSeen() {
        log.nameEras();
        log.put("config", "1");
        follower.start();
        follower.setTiming(ReadTiming.longPoll(WAIT.multipliedBy(60)));
        scheduler.advance(WAIT.toMillis());
        log.restore(0);
        log.put("config", "2");
        follower.followEra();
        follower.followEra();
        scheduler.advance(1);
        assertThat(events)
                .containsExactly("regained", "config=1", "restored", "config=2")
                .inOrder();
    }

    @Test
    void shouldRemoveKeysThatNobodyWritesAgainAfterTheTimeForThat() {
        log.nameEras();
        log.put("config", "1");
        log.put("order", "1");
        log.put("other", "1");
        follower.start();
        log.restore(1);
        follower.followEra();
        log.put("order", "1");
        final long rewriteMillis = LogStream.OPERATOR.rewriteTime().toMillis();
        scheduler.advance(rewriteMillis - 100);
        assertThat(events).doesNotContain("other=");
        scheduler.advance(200);
        assertThat(events).contains("other=");
        assertThat(events).doesNotContain("order=");
        assertThat(events).doesNotContain("config=");
    }

    @Test
    void shouldNotRemoveKeysInAnOutageAfterARestore() {
        log.nameEras();
        log.put("order", "1");
        follower.start();
        log.restore(0);
        follower.followEra();
        scheduler.advance(1_500);
        log.setUnavailable(true);
        scheduler.advance(3 * LogStream.OPERATOR.rewriteTime().toMillis());
        assertThat(events).doesNotContain("order=");
        log.setUnavailable(false);
        scheduler.advance(3_000);
        log.put("order", "1");
        scheduler.advance(2 * LogStream.OPERATOR.rewriteTime().toMillis());
        assertThat(events).doesNotContain("order=");
    }

    /** The log is away for most of the time in which the writers should write again. */
    @Test
    void shouldNotRemoveKeysSoonAfterAnOutageThatFollowsARestore() {
        log.nameEras();
        log.put("order", "1");
        follower.start();
        log.restore(0);
        follower.followEra();
        scheduler.advance(500);
        log.setUnavailable(true);
        scheduler.advance(LogStream.OPERATOR.rewriteTime().toMillis() - 1_500);
        log.setUnavailable(false);
        scheduler.advance(2_000);
        assertThat(events).doesNotContain("order=");
    }

    /** An answer about another stream has named the era; the follower is told of it only with its owner's next tick. */
    @Test
    void shouldHaveNoPositionOnceTheLogHasNamedAnotherEra() {
        log.nameEras();
        log.put("config", "1");
        follower.start();
        scheduler.advance(WAIT.toMillis());
        log.restore(0);
        assertThat(follower.position()).isEqualTo(OptionalLong.empty());
    }

    /** A log without eras may have been restored in the outage, so the position is in doubt until it is listed. */
    @Test
    void shouldHaveNoPositionAfterAFailureOfALogWithoutEras() {
        log.put("config", "1");
        follower.start();
        log.setUnavailable(true);
        scheduler.advance(2_000);
        assertThat(follower.position()).isEqualTo(OptionalLong.empty());
    }

    @Test
    void shouldKeepAnAppendFromBeingJudgedByAPositionInAnotherHistory() {
        log.nameEras();
        log.put("config", "1");
        follower.start();
        scheduler.advance(WAIT.toMillis());
        log.setSlowResponse(100);
        log.restore(0);
        follower.followEra();
        assertThat(follower.position()).isEqualTo(OptionalLong.empty());
        assertThat(follower.listed()).isTrue();
        scheduler.advance(200);
        assertThat(follower.position()).isEqualTo(OptionalLong.of(0));
    }

    private void restoreFrom(boolean namesEra, int recordCount) {
        restoreFrom(namesEra, recordCount, () -> {});
    }

    /** Restores the log in an outage, after the records "1" and "2" of one key were delivered. */
    private void restoreFrom(boolean namesEra, int recordCount, Runnable beforeReads) {
        if (namesEra) {
            log.nameEras();
        }
        log.put("config", "1");
        follower.start();
        log.put("config", "2");
        scheduler.advance(10);
        log.setUnavailable(true);
        scheduler.advance(2_000);
        log.restore(recordCount);
        beforeReads.run();
        log.setUnavailable(false);
        scheduler.advance(500);
    }

    @Test
    void shouldBackOffWhileRequestsFail() {
        log.setUnavailable(true);
        follower.start();
        scheduler.advance(10_000);
        assertThat(log.requests()).isLessThan(70);
        assertThat(log.requests()).isGreaterThan(20);
    }

    @Test
    void shouldRejectAnAppendAtAnOccupiedOffset() {
        log.put("status", "1");
        follower.start();
        final long nextOffset = follower.position().orElseThrow();
        log.put("status", "2");
        assertThat(log.append(LogStream.STATUS, "status", new byte[1], OptionalLong.of(nextOffset))
                        .isCompletedExceptionally())
                .isTrue();
    }

    @Test
    void shouldConfirmThePresentStateSoonAfterAFailure() {
        log.put("config", "1");
        follower.start();
        follower.setTiming(ReadTiming.longPoll(WAIT.multipliedBy(30)));
        scheduler.advance(WAIT.toMillis());
        log.setUnavailable(true);
        follower.setTiming(ReadTiming.longPoll(WAIT.multipliedBy(20)));
        scheduler.advance(500);
        log.setUnavailable(false);
        scheduler.advance(500);
        assertThat(caughtUpMillis).isGreaterThan(WAIT.toMillis() + 500);
        assertThat(caughtUpMillis).isAtMost(WAIT.toMillis() + 1_000);
    }

    @Test
    void shouldEndAPauseThatIsLongerThanTheNewTiming() {
        log.put("config", "1");
        follower.start();
        follower.setTiming(new ReadTiming(Duration.ZERO, Duration.ofSeconds(60), WAIT));
        scheduler.advance(10);
        log.put("config", "2");
        scheduler.advance(1_000);
        assertThat(events).doesNotContain("config=2");
        follower.setTiming(ReadTiming.periodic(Duration.ofMillis(100)));
        scheduler.advance(200);
        assertThat(events).contains("config=2");
    }

    @Test
    void shouldReplaceHeldReadWhenReadsBecomeMoreFrequent() {
        log.put("config", "1");
        follower.start();
        follower.setTiming(ReadTiming.longPoll(WAIT.dividedBy(10)));
        final int requests = log.requests();
        scheduler.advance(WAIT.toMillis() / 10);
        assertThat(log.requests()).isEqualTo(requests + 1);
        scheduler.advance(WAIT.toMillis());
        log.put("config", "2");
        scheduler.advance(10);
        assertThat(events).containsExactly("regained", "config=1", "config=2").inOrder();
    }

    /** Load pattern: the log takes a large part of the pause to respond. */
    @Test
    void shouldCountThePauseOfReadsThatReturnAtOnceFromTheirSending() {
        log.put("config", "1");
        follower.start();
        log.setSlowResponse(250);
        follower.setTiming(ReadTiming.periodic(Duration.ofMillis(500)));
        scheduler.advance(2_000);
        final int requests = log.requests();
        scheduler.advance(10_000);
        assertThat(log.requests() - requests).isIn(Range.closed(20, 22));
    }

    @Test
    void shouldCountThePauseOfHeldReadsFromTheirResponse() {
        log.put("config", "1");
        follower.start();
        follower.setTiming(new ReadTiming(WAIT, Duration.ofMillis(500), WAIT));
        scheduler.advance(900);
        log.put("config", "2");
        final int requests = log.requests();
        scheduler.advance(400);
        assertThat(log.requests()).isEqualTo(requests);
        scheduler.advance(200);
        assertThat(log.requests()).isEqualTo(requests + 1);
    }

    @Test
    void shouldNotReadTheRecordsThatItHasJustListed() {
        log.put("config", "1");
        follower.setTiming(ReadTiming.periodic(WAIT));
        follower.start();
        scheduler.advance(WAIT.toMillis() / 2);
        assertThat(log.requests()).isEqualTo(1);
        assertThat(follower.position()).isEqualTo(OptionalLong.of(1));
        scheduler.advance(WAIT.toMillis() / 2);
        assertThat(log.requests()).isEqualTo(2);
    }

    @Test
    void shouldRepeatAFailedRequestAtOnceIfTheLogIsKnownToRespond() {
        log.put("config", "1");
        follower.setTiming(ReadTiming.periodic(WAIT).withMaxBackoff(Duration.ofSeconds(60)));
        follower.start();
        log.setUnavailable(true);
        scheduler.advance(60_000);
        log.put("config", "2");
        log.setUnavailable(false);
        follower.retry();
        scheduler.advance(10);
        assertThat(events)
                .containsExactly("regained", "config=1", "lost", "regained", "config=2")
                .inOrder();
    }

    /** Load pattern: a request that was sent before the log responded again gets no response. */
    @Test
    void shouldRepeatAFailedRequestSoonIfItsTimeoutIsStillToCome() {
        log.put("config", "1");
        follower.setTiming(ReadTiming.periodic(WAIT).withMaxBackoff(Duration.ofSeconds(60)));
        follower.start();
        log.setSilent(true);
        scheduler.advance(20_000);
        int requests = log.requests();
        while (log.requests() == requests) {
            scheduler.advance(10);
        }
        log.put("config", "2");
        log.setSilent(false);
        follower.retry();
        scheduler.advance(1_000);
        assertThat(events).contains("config=2");
    }

    @Test
    void shouldNotSendARequestWhenToldToRepeatWithoutAFailure() {
        log.put("config", "1");
        follower.start();
        final int requests = log.requests();
        follower.retry();
        assertThat(log.requests()).isEqualTo(requests);
    }

    @Test
    void shouldListAgainWhenALaterPageNamesAnotherEra() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        scripted.respond(new NewestPage(List.of(keyed(0, "a", "1")), true, 5, 1));
        scripted.respond(new NewestPage(List.of(keyed(1, "b", "2")), false, 2, 2));
        scripted.respond(new NewestPage(List.of(keyed(0, "a", "2"), keyed(1, "b", "2")), false, 2, 2));
        followerOf(scripted).start();
        assertThat(events)
                .containsExactly("regained", "a=1", "restored", "a=2", "b=2")
                .inOrder();
    }

    @Test
    void shouldTakeAnOlderRecordOfAKeyForAnotherHistoryIfTheLogNamesNoEra() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        scripted.respond(page(5, keyed(4, "a", "2")));
        scripted.fail(SharedLogException.Kind.UNKNOWN);
        scripted.respond(page(6, keyed(2, "a", "1")));
        followerOf(scripted).start();
        scheduler.advance(100);
        assertThat(events)
                .containsExactly("regained", "a=2", "lost", "regained", "restored", "a=1")
                .inOrder();
    }

    @Test
    void shouldTakeAShorterStreamForAnotherHistoryIfTheLogNamesNoEra() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        scripted.respond(page(5, keyed(1, "a", "1")));
        scripted.fail(SharedLogException.Kind.UNKNOWN);
        scripted.respond(page(3, keyed(1, "a", "1")));
        followerOf(scripted).start();
        scheduler.advance(100);
        assertThat(events)
                .containsExactly("regained", "a=1", "lost", "regained", "restored", "a=1")
                .inOrder();
    }

    /** Guards against a listing with a broken item that confirms what was not read, or removes keys that it does not name. */
    @Test
    void shouldRepeatAListingThatHasAnItemThatCannotBeRead() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        final KeyedFollower reader = followerOf(scripted);
        scripted.respond(page(5, keyed(1, "a", "1"), keyed(2, "b", "1"), keyed(3, "c", "1")));
        scripted.fail(SharedLogException.Kind.HISTORY_LOST);
        scripted.respond(page(
                9,
                keyed(KeyedRecord.UNKNOWN_OFFSET, "", "?"),
                keyed(KeyedRecord.UNKNOWN_OFFSET, "b", "?"),
                keyed(7, "c", "2")));
        reader.start();
        assertThat(events)
                .containsAtLeast("a=1", "b=1", "c=1", "c=2", "error: the listing has a record that cannot be read")
                .inOrder();
        assertThat(events).containsNoneOf("a=", "b=", "b=?");
        assertThat(reader.position()).isEqualTo(OptionalLong.empty());
        final long confirmedMillis = caughtUpMillis;
        scheduler.advance(50);
        assertThat(caughtUpMillis).isEqualTo(confirmedMillis);
        scripted.respond(page(9, keyed(8, "b", "2"), keyed(7, "c", "2")));
        scheduler.advance(1_000);
        assertThat(events).containsAtLeast("b=2", "a=").inOrder();
        assertThat(caughtUpMillis).isGreaterThan(confirmedMillis);
    }

    @Test
    void shouldBackOffWhileListingsCannotBeRead() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        for (int count = 0; count < 1_000; count++) {
            scripted.respond(page(9, keyed(KeyedRecord.UNKNOWN_OFFSET, "b", "?")));
        }
        followerOf(scripted).start();
        scheduler.advance(10_000);
        assertThat(events.size()).isIn(Range.closed(10, 40));
        assertThat(caughtUpMillis).isEqualTo(-1);
    }

    /** Guards against keys that are accepted for too long, since an empty response came before its wait was over. */
    @Test
    void shouldNotBeCaughtUpLaterThanAnEmptyResponseCanHaveBeenMade() {
        final ScriptedSharedLog scripted = new ScriptedSharedLog(scheduler);
        scripted.respondAfter(100, page(1, keyed(0, "config", "1")));
        scripted.respondAfter(10, new LogBatch(List.of(), 1, 1));
        scripted.respondAfter(WAIT.toMillis() + 20, new LogBatch(List.of(), 1, 1));
        scripted.respondAfter(WAIT.toMillis() / 2, new LogBatch(List.of(), 1, 1));
        followerOf(scripted).start();
        scheduler.advance(100);
        assertThat(caughtUpMillis).isEqualTo(0);
        scheduler.advance(10);
        assertThat(caughtUpMillis).isEqualTo(100);
        // The next read follows after a pause of 100 ms, as the log does not hold the reads.
        scheduler.advance(100 + WAIT.toMillis() + 20);
        assertThat(caughtUpMillis).isEqualTo(210 + WAIT.toMillis());
        scheduler.advance(WAIT.toMillis() / 2);
        assertThat(caughtUpMillis).isEqualTo(210 + WAIT.toMillis() + 20);
    }

    private static NewestPage page(long end, KeyedRecord... records) {
        return new NewestPage(List.of(records), false, end);
    }

    private static KeyedRecord keyed(long offset, String key, String value) {
        return new KeyedRecord(offset, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private KeyedFollower followerOf(SharedLog followed) {
        return new KeyedFollower(
                followed,
                LogStream.OPERATOR,
                ReadTiming.longPoll(WAIT),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(7L),
                new KeyedFollower.Listener() {
                    @Override
                    public void onRecord(KeyedRecord keyedRecord) {
                        if (keyedRecord.key().equals("broken")) {
                            throw new IllegalStateException("broken");
                        }
                        events.add(keyedRecord.key() + "=" + new String(keyedRecord.value(), StandardCharsets.UTF_8));
                    }

                    @Override
                    public void onCaughtUp(long nanos) {
                        caughtUpMillis = nanos / 1_000_000;
                    }

                    @Override
                    public void onUnavailable(String reason) {
                        events.add("lost");
                    }

                    @Override
                    public void onHistoryReplaced(HistoryChange change) {
                        events.add("restored");
                    }

                    @Override
                    public void onAvailable() {
                        events.add("regained");
                    }
                },
                error -> events.add("error: " + error.getMessage()));
    }
}
