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

/** Readers, publishers and a faulty log that one seed drives step by step. Used by one thread. */
final class ConfigurationSimulation {
    private static final long RETENTION_MILLIS = 60_000;
    private static final int LOG_READERS = 3;
    private static final int READERS = 4;

    final Map<String, Integer> counts = new HashMap<>();
    private final UniformRandomProvider random;
    private final FakeConfigurationLog log;
    private final List<Reader> readers = new ArrayList<>();
    private final List<Publication> publications = new ArrayList<>();
    private final Map<String, PublishResult> verdicts = new HashMap<>();
    private boolean peersOut;
    private int edits;

    ConfigurationSimulation(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        log = new FakeConfigurationLog(random);
        for (int i = 0; i < READERS; i++) {
            readers.add(new Reader(i));
        }
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
            check();
        }
        heal();
        verdicts.values().forEach(this::checkVerdict);
    }

    private void step() {
        final int index = random.nextInt(READERS);
        switch (random.nextInt(20)) {
            case 0 -> readers.set(index, new Reader(index));
            case 1, 2 -> toggleOutage();
            case 3, 4 -> {
                log.nowMillis += random.nextInt(6) == 0 ? random.nextInt(40_000) : random.nextInt(2_000);
                log.trim(RETENTION_MILLIS);
            }
            case 5 -> deliverLate();
            case 6, 7, 8 -> open();
            case 9, 10, 11, 12, 13 -> publish();
            case 14, 15, 16 -> readers.get(index).reader.tick();
            default -> readers.get(index).deliver(random.nextInt(20) == 0);
        }
    }

    /** Delivers a delayed append, or a snapshot that a reader took some records ago. */
    private void deliverLate() {
        if (random.nextBoolean()) {
            log.deliverDelayed();
        } else {
            final int offset = Math.max(0, log.records.size() - random.nextInt(8));
            log.store(log.truth.get(offset).snapshot().encode());
        }
    }

    private void toggleOutage() {
        if (random.nextBoolean()) {
            log.out = random.nextInt(3) == 0;
        } else {
            peersOut = random.nextInt(3) == 0;
        }
    }

    private void open() {
        final LogFollower follower = new LogFollower();
        final long offset = Math.max(log.earliest, log.records.size() - random.nextInt(4));
        follower.adopt(log.truth.get((int) offset));
        final BlockingLogClient calls = new BlockingLogClient(log, Duration.ZERO, Duration.ofSeconds(1));
        final String team = random.nextBoolean() ? "a" : "b";
        final String name = "e" + edits++;
        final long base = follower.fold().orElseThrow().partRevision(team);
        final Edit edit = new Edit(name, team, base, text(team, name), "", RuleSet.CURRENT.number());
        publications.add(new Publication(follower, edit, calls));
    }

    /** The part of team b depends on the part of team a, so that a check may fail at first and pass for a duplicate. */
    private String text(String team, String name) {
        final String head = "[team " + team + "]\ncontact = " + name + "\n";
        if (random.nextInt(3) == 0) {
            return head;
        }
        return "a".equals(team)
                ? head + "[a model m]\n"
                : head + "[b organisation o]\nallow = m/*\ncredential = sha256:" + "0".repeat(64) + "\n";
    }

    private void publish() {
        if (publications.isEmpty()) {
            return;
        }
        final int index = random.nextInt(publications.size());
        final Publication publication = publications.get(index);
        final Optional<PublishResult> result =
                random.nextInt(25) == 0 ? Optional.of(publication.giveUp()) : publication.step();
        result.ifPresent(verdict -> {
            publications.remove(index);
            verdicts.put(verdict.editId(), verdict);
            checkVerdict(verdict);
            counts.merge(verdict.getClass().getSimpleName(), 1, Integer::sum);
        });
    }

    private void checkVerdict(PublishResult result) {
        final Optional<EditOutcome.Verdict> outcome = Optional.ofNullable(log.verdicts.get(result.editId()));
        if (result instanceof PublishResult.Accepted accepted) {
            assertThat(outcome).isEqualTo(Optional.of(EditOutcome.Verdict.ACCEPTED));
            final ConfigurationState after = log.truth.get((int) accepted.offset() + 1);
            final String team = after.outcome(result.editId()).orElseThrow().team();
            assertThat(after.partRevision(team)).isEqualTo(accepted.revision());
        } else if (result instanceof PublishResult.Rejected rejected) {
            assertThat(outcome).isEqualTo(Optional.of(rejected.verdict()));
        } else if (result instanceof PublishResult.NotSent) {
            assertThat(outcome).isEqualTo(Optional.empty());
        }
    }

    private void check() {
        readers.forEach(Reader::check);
    }

    /**
     * Ends all faults. Every reader must then reach the end of the log, if the log or a reader still holds the state.
     * No more records expire: the last usable snapshot could otherwise do so before any reader has read it.
     */
    private void heal() {
        log.out = false;
        log.faulty = false;
        peersOut = false;
        while (!log.delayed.isEmpty()) {
            log.deliverDelayed();
        }
        final ConfigurationState last = log.truth.get(log.truth.size() - 1);
        final boolean recoverable = last.revision() > 0 && (log.earliest == 0 || usableSnapshot() || anyReaderAhead());
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

    private boolean anyReaderAhead() {
        return readers.stream().limit(LOG_READERS).anyMatch(reader -> reader.offset() >= log.earliest);
    }

    private static URI origin(int index) {
        return URI.create("http://127.0.0.1:" + (index + 1));
    }

    private CompletableFuture<Optional<ConfigurationResponse>> fetch(URI entry, long after) {
        if (peersOut || log.faulty && random.nextInt(6) == 0) {
            return CompletableFuture.failedFuture(new PeerException("fault", null));
        }
        final Optional<ConfigurationState> fold =
                readers.get(entry.getPort() - 1).reader.fold();
        return CompletableFuture.completedFuture(fold.map(
                state -> Json.decode(Json.encode(ConfigurationResponse.of(state, after, 0)), ConfigurationResponse.class)));
    }

    private final class Reader {
        private final int index;
        private final Deque<ConfigurationEvent> events = new ArrayDeque<>();
        private final ConfigurationReader reader;
        private long lastOffset;
        private long lastNotified;
        private Optional<ConfigurationState> checked = Optional.empty();

        Reader(int index) {
            this.index = index;
            final boolean pulls = index >= LOG_READERS;
            reader = new ConfigurationReader(
                    ConfigurationSettings.of(origin(index), Duration.ofMillis(RETENTION_MILLIS)),
                    pulls ? Optional.empty() : Optional.of(log),
                    ConfigurationSimulation.this::fetch,
                    () -> List.of(origin(0), origin(1), origin(2)),
                    () -> log.nowMillis,
                    random,
                    events::add);
            reader.listen(configuration -> {
                assertThat(configuration.revision()).isGreaterThan(lastNotified);
                lastNotified = configuration.revision();
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
            final Optional<ConfigurationState> fold = reader.fold();
            if (fold.isEmpty() || fold.equals(checked)) {
                return;
            }
            checked = fold;
            final EffectiveConfiguration effective = reader.effective().orElseThrow();
            assertWithMessage("offset of reader %s", index)
                    .that(effective.offset())
                    .isAtLeast(lastOffset);
            lastOffset = effective.offset();
            final ConfigurationState truth = log.truth.get((int) lastOffset);
            assertThat(effective.document()).isEqualTo(truth.document());
            assertThat(effective.revision()).isEqualTo(truth.revision());
            assertThat(fold.get().snapshot()).isEqualTo(truth.snapshot());
        }
    }
}
