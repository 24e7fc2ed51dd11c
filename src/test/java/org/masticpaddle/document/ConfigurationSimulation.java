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

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Deterministic simulation of readers, publishers and a faulty log, driven step by step by one seed. Checks every state
 * against the log. Not thread-safe.
 */
final class ConfigurationSimulation {
    private static final long RETENTION_MILLIS = 60_000;
    private static final int LOG_READER_COUNT = 3;
    private static final int READER_COUNT = 4;

    final Map<String, Integer> counts = new HashMap<>();
    private final UniformRandomProvider random;
    private final FakeConfigurationLog log;
    private final List<Reader> readers = new ArrayList<>();
    private final List<Publication> publications = new ArrayList<>();
    private final Map<String, PublishResult> results = new HashMap<>();
    private boolean peersUnavailable;
    private int edits;

    ConfigurationSimulation(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        log = new FakeConfigurationLog(random);
        for (int i = 0; i < READER_COUNT; i++) {
            readers.add(new Reader(i));
        }
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
            checkReaders();
        }
        endFaults();
        results.values().forEach(this::checkResult);
    }

    private void step() {
        final int index = random.nextInt(READER_COUNT);
        switch (random.nextInt(20)) {
            case 0 -> readers.set(index, new Reader(index));
            case 1, 2 -> toggleOutage();
            case 3, 4 -> {
                log.nowMillis += random.nextInt(6) == 0 ? random.nextInt(40_000) : random.nextInt(2_000);
                log.expireRecords(RETENTION_MILLIS);
            }
            case 5 -> storeLateRecord();
            case 6, 7, 8 -> startPublication();
            case 9, 10, 11, 12, 13 -> stepPublication();
            case 14, 15, 16 -> readers.get(index).reader.tick();
            default -> readers.get(index).deliver(random.nextInt(20) == 0);
        }
    }

    /** Stores a delayed append, or a snapshot that a reader created some records ago. */
    private void storeLateRecord() {
        if (random.nextBoolean()) {
            log.deliverDelayed();
        } else {
            final int offset = Math.max(0, log.records.size() - random.nextInt(8));
            log.store(log.expectedStates.get(offset).snapshot().encode());
        }
    }

    private void toggleOutage() {
        if (random.nextBoolean()) {
            log.unavailable = random.nextInt(3) == 0;
        } else {
            peersUnavailable = random.nextInt(3) == 0;
        }
    }

    private void startPublication() {
        final LogFollower follower = new LogFollower();
        final long offset = Math.max(log.earliest, log.records.size() - random.nextInt(4));
        follower.adopt(log.expectedStates.get((int) offset));
        final BlockingLogClient logClient = new BlockingLogClient(log, Duration.ZERO, Duration.ofSeconds(1));
        final String team = random.nextBoolean() ? "a" : "b";
        final String name = "e" + edits++;
        final long base = follower.state().orElseThrow().partRevision(team);
        final Edit edit = new Edit(name, team, base, text(team, name), "", RuleSet.CURRENT.number());
        publications.add(new Publication(follower, edit, logClient));
    }

    /**
     * Returns a text in which team b may refer to a model of team a, so that an edit can fail its check at first
     * although a later duplicate of it would pass.
     */
    private String text(String team, String name) {
        final String head = "[team " + team + "]\ncontact = " + name + "\n";
        if (random.nextInt(3) == 0) {
            return head;
        }
        return "a".equals(team)
                ? head + "[a model m]\n"
                : head + "[b organisation o]\nallow = m/*\ncredential = sha256:" + "0".repeat(64) + "\n";
    }

    private void stepPublication() {
        if (publications.isEmpty()) {
            return;
        }
        final int index = random.nextInt(publications.size());
        final Publication publication = publications.get(index);
        final Optional<PublishResult> result =
                random.nextInt(25) == 0 ? Optional.of(publication.timeOut()) : publication.step();
        result.ifPresent(published -> {
            publications.remove(index);

            results.put(published.editId(), published);
            checkResult(published);

            counts.merge(published.getClass().getSimpleName(), 1, Integer::sum);
        });
    }

    private void checkResult(PublishResult result) {
        final Optional<EditOutcome.Verdict> expectedVerdict =
                Optional.ofNullable(log.expectedVerdicts.get(result.editId()));
        if (result instanceof PublishResult.Accepted accepted) {
            assertThat(expectedVerdict).isEqualTo(Optional.of(EditOutcome.Verdict.ACCEPTED));
            final ConfigurationState after = log.expectedStates.get((int) accepted.offset() + 1);
            final String team = after.outcome(result.editId()).orElseThrow().team();
            assertThat(after.partRevision(team)).isEqualTo(accepted.revision());
        } else if (result instanceof PublishResult.Rejected rejected) {
            assertThat(expectedVerdict).isEqualTo(Optional.of(rejected.verdict()));
        } else if (result instanceof PublishResult.NotSent) {
            assertThat(expectedVerdict).isEqualTo(Optional.empty());
        }
    }

    private void checkReaders() {
        readers.forEach(Reader::check);
    }

    /**
     * Ends all faults. Every reader must then reach the end of the log, provided that the log or a reader still holds
     * the state. Records no longer expire, since the last usable snapshot might do so before any reader has read it.
     */
    private void endFaults() {
        log.unavailable = false;
        log.faulty = false;
        peersUnavailable = false;
        while (!log.delayed.isEmpty()) {
            log.deliverDelayed();
        }
        final ConfigurationState last = log.expectedStates.get(log.expectedStates.size() - 1);
        final boolean recoverable =
                last.revision() > 0 && (log.earliest == 0 || usableSnapshot() || anyReaderWithoutGap());
        final int rounds = recoverable ? 400 : 20;
        for (int i = 0; i < rounds && readers.stream().anyMatch(reader -> reader.offset() < last.offset()); i++) {
            for (final Reader reader : readers) {
                reader.reader.tick();
                reader.deliverAll();
                reader.check();
            }
            log.nowMillis += 100;
        }
        counts.merge("expired", log.earliest > 0 ? 1 : 0, Integer::sum);
        counts.merge("snapshots", last.newestSnapshot().upTo() > 0 ? 1 : 0, Integer::sum);
        if (recoverable) {
            counts.merge("recovered", 1, Integer::sum);
            for (final Reader reader : readers) {
                assertWithMessage("offset of reader %s after all faults ended", reader.index)
                        .that(reader.offset())
                        .isAtLeast(last.offset());
            }
        }
    }

    private boolean usableSnapshot() {
        return log.records.subList((int) log.earliest, log.records.size()).stream()
                .anyMatch(record -> ConfigurationRecord.decode(record.data()).orElseThrow() instanceof Snapshot snapshot
                        && snapshot.upTo() >= log.earliest);
    }

    private boolean anyReaderWithoutGap() {
        return readers.stream().limit(LOG_READER_COUNT).anyMatch(reader -> reader.offset() >= log.earliest);
    }

    private static URI origin(int index) {
        return URI.create("http://127.0.0.1:" + (index + 1));
    }

    private CompletableFuture<Optional<ConfigurationResponse>> fetch(URI entry, long after) {
        if (peersUnavailable || log.faulty && random.nextInt(6) == 0) {
            return CompletableFuture.failedFuture(new PeerException("fault", null));
        }
        final Optional<ConfigurationState> peerState =
                readers.get(entry.getPort() - 1).reader.state();
        return CompletableFuture.completedFuture(peerState.map(state ->
                Json.decode(Json.encode(ConfigurationResponse.of(state, after, 0)), ConfigurationResponse.class)));
    }

    private final class Reader {
        private final int index;
        private final Deque<ConfigurationEvent> events = new ArrayDeque<>();
        private final ConfigurationReader reader;
        private long lastOffset;
        private long lastNotifiedRevision;
        private Optional<ConfigurationState> lastChecked = Optional.empty();

        Reader(int index) {
            this.index = index;
            final boolean pollsPeers = index >= LOG_READER_COUNT;
            reader = new ConfigurationReader(
                    ConfigurationSettings.of(origin(index), Duration.ofMillis(RETENTION_MILLIS)),
                    pollsPeers ? Optional.empty() : Optional.of(log),
                    ConfigurationSimulation.this::fetch,
                    () -> List.of(origin(0), origin(1), origin(2)),
                    () -> log.nowMillis,
                    random,
                    events::add);
            reader.listen(configuration -> {
                assertThat(configuration.revision()).isGreaterThan(lastNotifiedRevision);
                lastNotifiedRevision = configuration.revision();
            });
        }

        void deliver(boolean lost) {
            final ConfigurationEvent event = events.poll();
            if (event != null && !lost) {
                reader.handle(event);
            }
        }

        void deliverAll() {
            for (int i = 0; i < 100 && !events.isEmpty(); i++) {
                deliver(false);
            }
        }

        long offset() {
            return reader.effective().map(EffectiveConfiguration::offset).orElse(-1L);
        }

        void check() {
            final Optional<ConfigurationState> state = reader.state();
            if (state.isEmpty() || state.equals(lastChecked)) {
                return;
            }
            lastChecked = state;
            final EffectiveConfiguration effective = reader.effective().orElseThrow();
            assertWithMessage("offset of reader %s", index)
                    .that(effective.offset())
                    .isAtLeast(lastOffset);
            lastOffset = effective.offset();
            final ConfigurationState expected = log.expectedStates.get((int) lastOffset);
            assertThat(effective.document()).isEqualTo(expected.document());
            assertThat(effective.revision()).isEqualTo(expected.revision());
            assertThat(state.get().snapshot()).isEqualTo(expected.snapshot());
        }
    }
}
