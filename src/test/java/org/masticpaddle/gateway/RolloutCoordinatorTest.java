package org.masticpaddle.gateway;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.FakeSharedLog;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogBatch;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.NewestPage;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.RolloutStatus;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.kernel.FakeScheduler;

import static com.google.common.truth.Truth.assertThat;

/** Guards against gateways that disagree on a roll-out: two verdicts, split sessions, or a verdict that is lost. */
class RolloutCoordinatorTest {
    private static final long ORDER = 3;
    private static final Upstream OLD = upstream("old", "v1");
    private static final Upstream NEW = upstream("new", "v2");

    private final FakeScheduler scheduler = new FakeScheduler();
    private final Streams streams = new Streams();
    private final List<RolloutCoordinator> gateways = new ArrayList<>(List.of(gateway("a"), gateway("b")));

    @Test
    void shouldWriteOneStatusAndCompleteASoundVersion() {
        order();
        play(19_000, true);
        assertThat(streams.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.COMPLETED)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(permitted(gateway, OLD)).isFalse();
            assertThat(permitted(gateway, NEW)).isTrue();
        }
    }

    @Test
    void shouldRollBackABadVersionAtAllGateways() {
        order();
        play(8_000, false);
        assertThat(streams.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(permitted(gateway, NEW)).isFalse();
        }
    }

    @Test
    void shouldChooseTheVersionOfASessionAlikeEverywhere() {
        order();
        play(11_500, true);
        for (int number = 0; number < 500; number++) {
            final Optional<String> session = Optional.of("session-" + number);
            final boolean first =
                    gateways.get(0).admit("s", session, "x").preferred().test(NEW);
            assertThat(gateways.get(1).admit("s", session, "y").preferred().test(NEW))
                    .isEqualTo(first);
        }
    }

    @Test
    void shouldWriteTheVerdictAfterAnOutageOfTheLog() {
        order();
        play(500, true);
        streams.down(true);
        play(4_000, false);
        assertThat(streams.statuses()).containsExactly(RolloutProgress.RUNNING);
        assertThat(gateways.get(0).admit("s", Optional.empty(), "x").preferred().test(NEW))
                .isFalse();
        streams.down(false);
        play(3_000, false);
        assertThat(streams.statuses()).containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK);
    }

    @Test
    void shouldSendNothingToANewVersionBeforeTheStatusIsKnown() {
        order();
        play(8_000, false);
        streams.down(true);
        final RolloutCoordinator restarted = gateway("c");
        restarted.ordered(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER);
        for (int number = 0; number < 500; number++) {
            assertThat(restarted
                            .admit("s", Optional.of("session-" + number), "x")
                            .preferred()
                            .test(NEW))
                    .isFalse();
        }
        streams.down(false);
        scheduler.advance(2_000);
        assertThat(permitted(restarted, NEW)).isFalse();
    }

    private void order() {
        gateways.forEach(
                gateway -> gateway.ordered(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER));
    }

    /** Lets time pass in steps of 100 ms, with ten requests a second at each gateway. */
    private void play(long millis, boolean sound) {
        for (long passed = 0; passed < millis; passed += 100) {
            for (final RolloutCoordinator gateway : gateways) {
                gateway.answered(OLD, "r", true, 10, 10);
                if (passed % 500 == 0) {
                    gateway.answered(NEW, "r", sound, 10, 10);
                }
                gateway.tick();
            }
            scheduler.advance(100);
        }
    }

    private static boolean permitted(RolloutCoordinator gateway, Upstream upstream) {
        return gateway.admit("s", Optional.of("any"), "x").permitted().test(upstream);
    }

    private RolloutCoordinator gateway(String name) {
        return new RolloutCoordinator(
                name,
                streams,
                new TextCodec(),
                new UpstreamRegistry(0),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                new DecisionLog(name, () -> 0, text -> {}));
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", version, 8, false, 1);
    }

    /** One fake log for each stream. */
    private final class Streams implements SharedLog {
        private final Map<LogStream, FakeSharedLog> logs = new EnumMap<>(LogStream.class);
        private final List<RolloutProgress> written = new ArrayList<>();

        Streams() {
            for (final LogStream stream : LogStream.values()) {
                logs.put(stream, new FakeSharedLog(scheduler));
            }
        }

        void down(boolean now) {
            logs.values().forEach(log -> log.setUnavailable(now));
        }

        List<RolloutProgress> statuses() {
            return written;
        }

        @Override
        public CompletableFuture<NewestPage> newest(LogStream stream, String after) {
            return logs.get(stream).newest(stream, after);
        }

        @Override
        public CompletableFuture<LogBatch> read(LogStream stream, long from, Duration wait) {
            return logs.get(stream).read(stream, from, wait);
        }

        @Override
        public CompletableFuture<Long> append(LogStream stream, String key, byte[] value, OptionalLong onlyAt) {
            final CompletableFuture<Long> answer = logs.get(stream).append(stream, key, value, onlyAt);
            if (stream == LogStream.STATUS && !answer.isCompletedExceptionally()) {
                written.add(new TextCodec()
                        .rolloutStatus(new KeyedRecord(0, key, value))
                        .progress());
            }
            return answer;
        }
    }

    /** Writes a status as words. */
    private static final class TextCodec implements ControlCodec {
        @Override
        public OperatorRecord operatorRecord(KeyedRecord keyed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Upstream upstream(KeyedRecord keyed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String upstreamId(KeyedRecord keyed) {
            return keyed.key();
        }

        @Override
        public byte[] rolloutStatus(RolloutStatus status) {
            return (status.service() + " " + status.version() + " " + status.order() + " " + status.progress())
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public String rolloutStatusKey(String service) {
            return service;
        }

        @Override
        public RolloutStatus rolloutStatus(KeyedRecord keyed) {
            final String[] words = new String(keyed.value(), StandardCharsets.UTF_8).split(" ");
            return new RolloutStatus(words[0], words[1], Long.parseLong(words[2]), RolloutProgress.valueOf(words[3]));
        }
    }
}
