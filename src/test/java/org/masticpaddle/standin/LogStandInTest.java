package org.masticpaddle.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.PlatformException;
import org.masticpaddle.wire.HttpClient;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a log stand-in that loses, reorders or repeats records without being told to. */
class LogStandInTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client = new HttpClient(1);
    private final LogStandIn server = new LogStandIn(10, 5, Duration.ofDays(1));
    private HttpEventLog log;

    @BeforeEach
    void start() {
        client.start();
        server.start();
        log = new HttpEventLog(client, server.origin(), TIMEOUT);
    }

    @AfterEach
    void stop() {
        server.stop();
        client.stop();
    }

    @Test
    void shouldReadWhatWasAppendedAtConsecutiveOffsets() {
        assertThat(append("a", "b")).isEqualTo(0);
        assertThat(append("c")).isEqualTo(2);
        final LogPage page = read(1, 10);
        assertThat(page.end()).isEqualTo(3);
        assertThat(contents(page)).containsExactly("b", "c").inOrder();
        assertThat(page.records().get(0).offset()).isEqualTo(1);
        assertThat(contents(read(0, 1))).containsExactly("a");
        assertThat(contents(read(9, 1))).isEmpty();
    }

    @Test
    void shouldWakeALongPoll() {
        final CompletableFuture<LogPage> waiting = log.read("s", 0, 10, Duration.ofSeconds(15));
        append("a");
        assertThat(contents(waiting.join())).containsExactly("a");
        assertThat(contents(log.read("s", 1, 10, Duration.ofMillis(5)).join())).isEmpty();
    }

    @Test
    void shouldKeepOnlyRetainedRecordsButJournalAll() {
        append("a", "b", "c", "d", "e", "f", "g");
        final LogPage page = read(0, 10);
        assertThat(page.earliest()).isEqualTo(2);
        assertThat(contents(page)).containsExactly("c", "d", "e", "f", "g").inOrder();
        server.expire("s", 6);
        assertThat(contents(read(0, 10))).containsExactly("g");
        assertThat(server.journal("s")).hasSize(7);
    }

    @Test
    void shouldRefuseAppendsAboveTheLimitWithoutEffect() {
        int accepted = 0;
        PlatformException refusal = null;
        while (refusal == null) {
            try {
                append("a");
                accepted++;
            } catch (CompletionException e) {
                refusal = (PlatformException) e.getCause();
            }
        }
        assertThat(refusal.effect()).isEqualTo(PlatformException.Effect.NONE);
        assertThat(server.journal("s")).hasSize(accepted);
    }

    @Test
    void shouldHaveItsEffectWhenTheAcknowledgementIsLostOrTheAppendIsRepeated() {
        server.faults().enableTimes(Fault.ANSWER_LOST, 0, 1);
        final CompletionException lost = assertThrows(CompletionException.class, () -> append("a"));
        assertThat(((PlatformException) lost.getCause()).effect()).isEqualTo(PlatformException.Effect.POSSIBLE);
        server.faults().enableTimes(Fault.APPLIED_TWICE, 0, 1);
        assertThat(append("b")).isEqualTo(1);
        assertThat(contents(read(0, 10))).containsExactly("a", "b", "b").inOrder();
    }

    @Test
    void shouldKeepRecordsAndPortOverAnOutageAndARestart() {
        append("a");
        server.faults().enable(Fault.OUTAGE, 0);
        assertThrows(CompletionException.class, () -> append("b"));
        server.faults().disable(Fault.OUTAGE);
        server.stop();
        server.start();
        // A new client, since the old one may still hold a connection that the stop closed.
        final HttpClient second = new HttpClient(1);
        second.start();
        log = new HttpEventLog(second, server.origin(), TIMEOUT);
        assertThat(contents(read(0, 10))).containsExactly("a");
        second.stop();
    }

    private long append(String... records) {
        return log.append(
                        "s",
                        List.of(records).stream()
                                .map(text -> text.getBytes(StandardCharsets.UTF_8))
                                .toList())
                .join();
    }

    private LogPage read(long from, int limit) {
        return log.read("s", from, limit, Duration.ZERO).join();
    }

    private static List<String> contents(LogPage page) {
        return page.records().stream()
                .map(entry -> new String(entry.data(), StandardCharsets.UTF_8))
                .toList();
    }
}
