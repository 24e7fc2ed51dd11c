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

/** Guards against a log stand-in that loses, reorders or duplicates records although no fault is injected. */
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
    void shouldAssignConsecutiveOffsets() {
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
    void shouldCompleteALongPollOnAppendOrTimeout() {
        final CompletableFuture<LogPage> longPoll = log.read("s", 0, 10, Duration.ofSeconds(15));
        append("a");
        assertThat(contents(longPoll.join())).containsExactly("a");
        assertThat(contents(log.read("s", 1, 10, Duration.ofMillis(5)).join())).isEmpty();
    }

    @Test
    void shouldReturnRetainedRecordsOnlyAndJournalAllRecords() {
        append("a", "b", "c", "d", "e", "f", "g");
        final LogPage page = read(0, 10);
        assertThat(page.earliest()).isEqualTo(2);
        assertThat(contents(page)).containsExactly("c", "d", "e", "f", "g").inOrder();
        server.expire("s", 6);
        assertThat(contents(read(0, 10))).containsExactly("g");
        assertThat(server.journal("s")).hasSize(7);
    }

    @Test
    void shouldRejectAppendsAboveTheRateLimitWithoutEffect() {
        int accepted = 0;
        PlatformException rejection = null;
        while (rejection == null) {
            try {
                append("a");
                accepted++;
            } catch (CompletionException e) {
                rejection = (PlatformException) e.getCause();
            }
        }
        assertThat(rejection.effect()).isEqualTo(PlatformException.Effect.NONE);
        assertThat(server.journal("s")).hasSize(accepted);
    }

    @Test
    void shouldApplyAnAppendWhoseAcknowledgementIsLostOrThatIsAppliedTwice() {
        server.faults().enableTimes(Fault.ANSWER_LOST, 0, 1);
        final CompletionException lostAcknowledgement = assertThrows(CompletionException.class, () -> append("a"));
        assertThat(((PlatformException) lostAcknowledgement.getCause()).effect())
                .isEqualTo(PlatformException.Effect.POSSIBLE);
        server.faults().enableTimes(Fault.APPLIED_TWICE, 0, 1);
        assertThat(append("b")).isEqualTo(1);
        assertThat(contents(read(0, 10))).containsExactly("a", "b", "b").inOrder();
    }

    @Test
    void shouldKeepRecordsAndPortAfterAnOutageAndARestart() {
        append("a");
        server.faults().enable(Fault.OUTAGE, 0);
        assertThrows(CompletionException.class, () -> append("b"));
        server.faults().disable(Fault.OUTAGE);
        server.stop();
        server.start();
        // Uses a new client, since the old one may still pool a connection that the server closed when it stopped.
        final HttpClient newClient = new HttpClient(1);
        newClient.start();
        log = new HttpEventLog(newClient, server.origin(), TIMEOUT);
        assertThat(contents(read(0, 10))).containsExactly("a");
        newClient.stop();
    }

    private long append(String... records) {
        return log.append(
                        "s",
                        List.of(records).stream()
                                .map(text -> text.getBytes(StandardCharsets.UTF_8))
                                .toList())
                .join();
    }

    private LogPage read(long fromOffset, int limit) {
        return log.read("s", fromOffset, limit, Duration.ZERO).join();
    }

    private static List<String> contents(LogPage page) {
        return page.records().stream()
                .map(entry -> new String(entry.data(), StandardCharsets.UTF_8))
                .toList();
    }
}
