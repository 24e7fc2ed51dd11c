package org.masticpaddle.sidecar;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.EngineControl;
import org.masticpaddle.platform.PlatformException;

import static com.google.common.truth.Truth.assertThat;

/** Guards against orders that are guessed, repeated without need, given too early or given to a busy engine. */
class EngineKeeperTest {
    private static final long TOKEN = 42;

    private final FakeEngine engine = new FakeEngine();
    private final Deque<Runnable> posted = new ArrayDeque<>();
    private final LoadTracker load = new LoadTracker(TOKEN, 16, false);
    private RoutingDocument document = RoutingDocument.EMPTY;
    private Optional<Long> weightDelay = Optional.empty();
    private long now = 1_000_000;

    @Test
    void shouldLoadWhatTheDocumentDeclaresWithItsFencingToken() {
        declare("v1", ModelVersion.State.ACTIVE);
        run(keeper(), 3);
        assertThat(engine.orders)
                .containsExactly(
                        new EngineControl.EngineOrder(EngineControl.OrderKind.LOAD_VERSION, "model-a/v1", TOKEN));
        assertThat(load.report().ready()).isTrue();
    }

    @Test
    void shouldSettleALostAnswerByReadingTheState() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.loseAnswers = 1;
        run(keeper(), 5);
        assertThat(engine.orders).hasSize(1);
        assertThat(engine.versions).containsExactly("model-a/v1");
    }

    @Test
    void shouldRepeatAnOrderThatHadNoEffect() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.refuseOrders = 2;
        run(keeper(), 8);
        assertThat(engine.orders).hasSize(3);
        assertThat(engine.versions).containsExactly("model-a/v1");
    }

    @Test
    void shouldWaitForTheWeightStore() {
        declare("v1", ModelVersion.State.ACTIVE);
        weightDelay = Optional.of(10_000L);
        final EngineReconciler keeper = keeper();
        run(keeper, 4);
        assertThat(engine.orders).isEmpty();
        now += 10_000;
        run(keeper, 2);
        assertThat(engine.orders).hasSize(1);
    }

    @Test
    void shouldUnloadAWithdrawnVersionOnlyFromAnIdleEngine() {
        engine.versions.add("model-a/v1");
        declare("v1", ModelVersion.State.WITHDRAWN);
        final EngineReconciler keeper = keeper();
        load.publish(1, 0, false);
        run(keeper, 3);
        assertThat(engine.orders).isEmpty();
        load.publish(0, 0, false);
        run(keeper, 3);
        assertThat(engine.orders)
                .containsExactly(
                        new EngineControl.EngineOrder(EngineControl.OrderKind.UNLOAD_VERSION, "model-a/v1", TOKEN));
    }

    /** Guards against a process that was paused and acts after its successor. */
    @Test
    void shouldGiveNoOrderBesideANewerIssuer() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.highestToken = TOKEN + 1;
        run(keeper(), 3);
        assertThat(engine.orders).isEmpty();
    }

    @Test
    void shouldBecomeUnreadyWhenTheEngineDoesNotAnswer() {
        final EngineReconciler keeper = keeper();
        run(keeper, 1);
        load.publish(0, 0, false);
        assertThat(load.report().ready()).isTrue();
        engine.down = true;
        run(keeper, 3);
        load.publish(0, 0, false);
        assertThat(load.report().ready()).isFalse();
    }

    private EngineReconciler keeper() {
        return new EngineReconciler(
                engine,
                weightDelay.map(delay -> (version, requester) -> CompletableFuture.completedFuture(delay)),
                () -> document,
                new EngineIdentity("engines", "worker-1", TOKEN),
                load,
                () -> now,
                posted::add);
    }

    private void run(EngineReconciler keeper, int rounds) {
        for (int round = 0; round < rounds; round++) {
            now += 1_000;
            keeper.tick();
            while (!posted.isEmpty()) {
                keeper.handle(posted.poll());
            }
        }
        load.publish(load.report().running(), 0, false);
    }

    private void declare(String version, ModelVersion.State state) {
        final VersionName name = new VersionName("model-a", version);
        document = new RoutingDocument(
                Map.of(),
                Map.of(
                        name,
                        new ModelVersion(
                                name, "engines", state, 1, 1, 0.5, Map.of(), 10, ModelVersion.SessionEnd.MOVE)),
                Map.of(),
                Map.of(),
                Map.of());
    }

    private static final class FakeEngine implements EngineControl {
        private final List<String> versions = new ArrayList<>();
        private final List<EngineOrder> orders = new ArrayList<>();
        private int loseAnswers;
        private int refuseOrders;
        private long highestToken;
        private boolean down;

        @Override
        public CompletableFuture<EngineState> state() {
            return down
                    ? failed(PlatformException.Effect.NONE)
                    : CompletableFuture.completedFuture(
                            new EngineState(List.copyOf(versions), List.of(), List.of(), "", 16, 0, 0, highestToken));
        }

        @Override
        public CompletableFuture<EngineState> order(EngineOrder order) {
            orders.add(order);
            if (refuseOrders > 0) {
                refuseOrders--;
                return failed(PlatformException.Effect.NONE);
            }
            if (order.kind() == OrderKind.LOAD_VERSION) {
                versions.add(order.subject());
            } else {
                versions.remove(order.subject());
            }
            if (loseAnswers > 0) {
                loseAnswers--;
                return failed(PlatformException.Effect.POSSIBLE);
            }
            return state();
        }

        @Override
        public CompletableFuture<List<CacheEvent>> cacheEvents(long afterSequence) {
            return CompletableFuture.completedFuture(List.of());
        }

        private static CompletableFuture<EngineState> failed(PlatformException.Effect effect) {
            return CompletableFuture.failedFuture(new PlatformException(effect, "engine failed", null));
        }
    }
}
