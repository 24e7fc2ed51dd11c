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

/**
 * Guards against gateways that disagree on a rollout: two different verdicts, a session on different versions, or a verdict
 * that is lost in an outage of the log.
 */
class RolloutCoordinatorTest {
    private static final long ORDER_OFFSET = 3;
    private static final Upstream OLD = upstream("old", "v1");
    private static final Upstream NEW = upstream("new", "v2");

    private final FakeScheduler scheduler = new FakeScheduler();
    private final FakeStreams sharedLog = new FakeStreams();
    private final List<RolloutCoordinator> gateways = new ArrayList<>(List.of(gateway("a"), gateway("b")));

    @Test
    void shouldWriteEachStatusOnceAndCompleteGoodVersion() {
        orderRollout();
        simulate(19_000, true);
        assertThat(sharedLog.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.COMPLETED)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(isPermitted(gateway, OLD)).isFalse();
            assertThat(isPermitted(gateway, NEW)).isTrue();
        }
    }

    @Test
    void shouldRollBackBadVersionAtAllGateways() {
        orderRollout();
        simulate(8_000, false);
        assertThat(sharedLog.statuses())
                .containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK)
                .inOrder();
        for (final RolloutCoordinator gateway : gateways) {
            assertThat(isPermitted(gateway, NEW)).isFalse();
        }
    }

    @Test
    void shouldChooseSameVersionForSessionAtAllGateways() {
        orderRollout();
        simulate(11_500, true);
        for (int sessionNumber = 0; sessionNumber < 500; sessionNumber++) {
            final Optional<String> session = Optional.of("session-" + sessionNumber);
            final boolean first = gateways.get(0)
                    .eligibleUpstreams("s", session, "x")
                    .preferred()
                    .test(NEW);
            assertThat(gateways.get(1)
                            .eligibleUpstreams("s", session, "y")
                            .preferred()
                            .test(NEW))
                    .isEqualTo(first);
        }
    }

    @Test
    void shouldWriteVerdictAfterLogOutage() {
        orderRollout();
        simulate(500, true);
        sharedLog.setUnavailable(true);
        simulate(4_000, false);
        assertThat(sharedLog.statuses()).containsExactly(RolloutProgress.RUNNING);
        assertThat(gateways.get(0)
                        .eligibleUpstreams("s", Optional.empty(), "x")
                        .preferred()
                        .test(NEW))
                .isFalse();
        sharedLog.setUnavailable(false);
        simulate(3_000, false);
        assertThat(sharedLog.statuses()).containsExactly(RolloutProgress.RUNNING, RolloutProgress.ROLLED_BACK);
    }

    @Test
    void shouldPreferOldVersionUntilStatusIsKnown() {
        orderRollout();
        simulate(8_000, false);
        sharedLog.setUnavailable(true);
        final RolloutCoordinator restarted = gateway("c");
        restarted.onOperatorRecord(new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER_OFFSET);
        for (int sessionNumber = 0; sessionNumber < 500; sessionNumber++) {
            assertThat(restarted
                            .eligibleUpstreams("s", Optional.of("session-" + sessionNumber), "x")
                            .preferred()
                            .test(NEW))
                    .isFalse();
        }
        sharedLog.setUnavailable(false);
        scheduler.advance(2_000);
        assertThat(isPermitted(restarted, NEW)).isFalse();
    }

    private void orderRollout() {
        gateways.forEach(gateway -> gateway.onOperatorRecord(
                new OperatorRecord.RolloutOrder("s", "v2", Duration.ofSeconds(20)), ORDER_OFFSET));
    }

    /**
     * Simulates traffic in steps of 100 ms: at each gateway ten requests a second on the old version and two on the new one.
     */
    private void simulate(long millis, boolean successful) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 100) {
            for (final RolloutCoordinator gateway : gateways) {
                answer(gateway, OLD, true);
                if (elapsedMillis % 500 == 0) {
                    answer(gateway, NEW, successful);
                }
                gateway.tick();
            }
            scheduler.advance(100);
        }
    }

    private static void answer(RolloutCoordinator gateway, Upstream upstream, boolean successful) {
        gateway.attemptSent(new VersionRouter.SentAttempt("x", Optional.empty(), upstream, "r", 10, 0))
                .onEnd(successful ? VersionRouter.AttemptEnd.ANSWERED : VersionRouter.AttemptEnd.FAILED);
    }

    private static boolean isPermitted(RolloutCoordinator gateway, Upstream upstream) {
        return gateway.eligibleUpstreams("s", Optional.of("any"), "x")
                .permitted()
                .test(upstream);
    }

    private RolloutCoordinator gateway(String name) {
        return new RolloutCoordinator(
                name,
                sharedLog,
                new TextCodec(),
                new UpstreamRegistry(0),
                scheduler,
                RandomSource.XO_RO_SHI_RO_128_PP.create(name.hashCode()),
                new DecisionLog(name, () -> 0, text -> {}));
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(id, "s", URI.create("http://127.0.0.1:1"), "d", version, 8, false, 1);
    }

    /** Shared log with a fake for each stream; records the statuses that were written. */
    private final class FakeStreams implements SharedLog {
        private final Map<LogStream, FakeSharedLog> logs = new EnumMap<>(LogStream.class);
        private final List<RolloutProgress> writtenStatuses = new ArrayList<>();

        FakeStreams() {
            for (final LogStream stream : LogStream.values()) {
                logs.put(stream, new FakeSharedLog(scheduler));
            }
        }

        void setUnavailable(boolean unavailable) {
            logs.values().forEach(log -> log.setUnavailable(unavailable));
        }

        List<RolloutProgress> statuses() {
            return writtenStatuses;
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
            final CompletableFuture<Long> appended = logs.get(stream).append(stream, key, value, onlyAt);
            if (stream == LogStream.STATUS && !appended.isCompletedExceptionally()) {
                writtenStatuses.add(new TextCodec()
                        .rolloutStatus(new KeyedRecord(0, key, value))
                        .progress());
            }
            return appended;
        }
    }

    /** Encodes a status as space-separated text. */
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
            final String[] fields = new String(keyed.value(), StandardCharsets.UTF_8).split(" ");
            return new RolloutStatus(
                    fields[0], fields[1], Long.parseLong(fields[2]), RolloutProgress.valueOf(fields[3]));
        }
    }
}
