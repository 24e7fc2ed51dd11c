package org.masticpaddle.document;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.HttpEventLog;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpServer;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an edit that does not reach a process, and against a start from too few or stale entries. */
class ConfigurationServiceTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final long WAIT_SECONDS = 30;

    @Test
    void shouldCarryAnEditFromTheLogToASidecar() throws InterruptedException {
        final HttpClient client = new HttpClient(1);
        client.start();
        try (StandInLogServer log = new StandInLogServer()) {
            final HttpEventLog binding = new HttpEventLog(client, log.uri(), SECOND);
            final ConfigurationService entry = ConfigurationService.fromLog(
                    settings(log.uri()),
                    binding,
                    failing(),
                    List::of,
                    System::currentTimeMillis,
                    RandomSource.JSF_64.create());
            final HttpServer server = new HttpServer("127.0.0.1", 0, 1, 1024, new ConfigurationHandler(entry::changesSince));
            server.start();
            final URI origin = URI.create("http://127.0.0.1:" + server.port());
            final ConfigurationService sidecar = ConfigurationService.fromPeers(
                    settings(URI.create("http://127.0.0.1:1")),
                    new HttpConfigurationPeer(client, SECOND),
                    () -> List.of(origin),
                    System::currentTimeMillis,
                    RandomSource.JSF_64.create());
            final CountDownLatch second = new CountDownLatch(1);
            sidecar.listen(configuration -> {
                if (configuration.revision() == 2) {
                    second.countDown();
                }
            });
            entry.start();
            sidecar.start();
            final Publisher publisher = new Publisher(binding, SECOND, RandomSource.JSF_64.create());
            publisher.publish("a", 0, "[team a]\n", "test");
            final PublishResult result = publisher.publish("a", 1, "[team a]\n[a model m]\n", "test");
            assertThat(result).isInstanceOf(PublishResult.Accepted.class);
            assertThat(second.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            // An append that is answered late is repeated, so there may be more than two records.
            assertThat(sidecar.effective().orElseThrow().offset()).isAtLeast(2L);
            assertThat(sidecar.tailAgeMillis().isPresent()).isTrue();
            sidecar.stop();
            entry.stop();
            server.stop();
        } finally {
            client.stop();
        }
    }

    @Test
    void shouldStartFromAMajorityOfTheEntriesDuringALogOutage() {
        final List<URI> peers = List.of(URI.create("http://p:1"), URI.create("http://p:2"), URI.create("http://p:3"));
        final Map<URI, ConfigurationState> states = new HashMap<>();
        final FakeConfigurationLog log = new FakeConfigurationLog(RandomSource.JSF_64.create(1));
        log.out = true;
        final Deque<ConfigurationEvent> events = new ArrayDeque<>();
        final ConfigurationReader reader = new ConfigurationReader(
                settings(URI.create("http://p:4")),
                Optional.of(log),
                (entry, after) -> CompletableFuture.completedFuture(
                        Optional.ofNullable(states.get(entry)).map(state -> ConfigurationResponse.of(state, after, 7))),
                () -> peers,
                () -> log.nowMillis,
                RandomSource.JSF_64.create(1),
                events::add);
        states.put(peers.get(0), fold(1));
        run(reader, log, events);
        assertThat(reader.effective()).isEqualTo(Optional.empty());
        states.put(peers.get(1), fold(2));
        run(reader, log, events);
        assertThat(reader.effective().orElseThrow().revision()).isEqualTo(2);
        assertThat(reader.tailMillis()).isAtLeast(0L);
        log.out = false;
        log.faulty = false;
        run(reader, log, events);
        assertThat(reader.effective().orElseThrow().revision()).isEqualTo(2);
    }

    @Test
    void shouldAnswerWithChangedPartsOnly() {
        final ConfigurationState old = fold(2);
        final ConfigurationState next = apply(old, new Edit("b", "b", 0, "[team b]\n", "", 1));
        final ConfigurationResponse answer = ConfigurationResponse.of(next, old.offset(), 0);
        assertThat(answer.changes().parts().stream().map(PublishedPart::team)).containsExactly("b");
        assertThat(answer.applyTo(old).orElseThrow().snapshot()).isEqualTo(next.snapshot());
        assertThat(answer.applyTo(fold(1))).isEqualTo(Optional.empty());
    }

    private static void run(ConfigurationReader reader, FakeConfigurationLog log, Deque<ConfigurationEvent> events) {
        for (int i = 0; i < 200; i++) {
            log.nowMillis += 100;
            reader.tick();
            final List<ConfigurationEvent> batch = new ArrayList<>(events);
            events.clear();
            batch.forEach(reader::handle);
        }
    }

    private static ConfigurationState fold(int edits) {
        ConfigurationState fold = ConfigurationState.empty();
        for (int i = 0; i < edits; i++) {
            fold = apply(fold, new Edit("a" + i, "a", i, "[team a]\n", "", 1));
        }
        return fold;
    }

    private static ConfigurationState apply(ConfigurationState fold, Edit edit) {
        return fold.apply(new LogRecord(fold.offset(), 1, edit.encode())).next();
    }

    private static ConfigurationSettings settings(URI self) {
        return new ConfigurationSettings(
                self, Duration.ofHours(1), Duration.ofMillis(100), Duration.ofMillis(50), SECOND);
    }

    private static ConfigurationPeer failing() {
        return (entry, after) -> CompletableFuture.failedFuture(new PeerException("no peer", null));
    }
}
