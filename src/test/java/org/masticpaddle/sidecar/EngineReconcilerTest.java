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

/**
 * Guards against orders that are not based on the engine's state, are repeated needlessly, are sent before the time
 * that the weight store assigned, or unload a version from a busy engine.
 */
class EngineReconcilerTest {
    private static final long FENCING_TOKEN = 42;

    private final FakeEngine engine = new FakeEngine();
    private final Deque<Runnable> posted = new ArrayDeque<>();
    private final LoadTracker load = new LoadTracker(FENCING_TOKEN, 16, false);
    private RoutingDocument document = RoutingDocument.EMPTY;
    private Optional<Long> loadDelayMillis = Optional.empty();
    private long nowMillis = 1_000_000;

    @Test
    void shouldLoadDeclaredVersionsWithItsFencingToken() {
        declare("v1", ModelVersion.State.ACTIVE);
        runRounds(reconciler(), 3);
        assertThat(engine.orders)
                .containsExactly(new EngineControl.EngineOrder(
                        EngineControl.OrderKind.LOAD_VERSION, "model-a/v1", FENCING_TOKEN));
        assertThat(load.report().ready()).isTrue();
    }

    @Test
    void shouldResolveALostResponseByReadingTheState() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.responsesToLose = 1;
        runRounds(reconciler(), 5);
        assertThat(engine.orders).hasSize(1);
        assertThat(engine.versions).containsExactly("model-a/v1");
    }

    @Test
    void shouldRetryAnOrderThatHadNoEffect() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.ordersToReject = 2;
        runRounds(reconciler(), 8);
        assertThat(engine.orders).hasSize(3);
        assertThat(engine.versions).containsExactly("model-a/v1");
    }

    @Test
    void shouldDelayALoadUntilTheTimeAssignedByTheWeightStore() {
        declare("v1", ModelVersion.State.ACTIVE);
        loadDelayMillis = Optional.of(10_000L);
        final EngineReconciler reconciler = reconciler();
        runRounds(reconciler, 4);
        assertThat(engine.orders).isEmpty();
        nowMillis += 10_000;
        runRounds(reconciler, 2);
        assertThat(engine.orders).hasSize(1);
    }

    @Test
    void shouldUnloadAWithdrawnVersionOnlyFromAnIdleEngine() {
        engine.versions.add("model-a/v1");
        declare("v1", ModelVersion.State.WITHDRAWN);
        final EngineReconciler reconciler = reconciler();
        load.publish(1, 0, false);
        runRounds(reconciler, 3);
        assertThat(engine.orders).isEmpty();
        load.publish(0, 0, false);
        runRounds(reconciler, 3);
        assertThat(engine.orders)
                .containsExactly(new EngineControl.EngineOrder(
                        EngineControl.OrderKind.UNLOAD_VERSION, "model-a/v1", FENCING_TOKEN));
    }

    /** Guards against orders of a paused process that resumes after its successor has started. */
    @Test
    void shouldSendNoOrderOnceTheEngineHasSeenAHigherFencingToken() {
        declare("v1", ModelVersion.State.ACTIVE);
        engine.highestFencingToken = FENCING_TOKEN + 1;
        runRounds(reconciler(), 3);
        assertThat(engine.orders).isEmpty();
    }

    @Test
    void shouldBecomeUnreadyWhenTheEngineDoesNotRespond() {
        final EngineReconciler reconciler = reconciler();
        runRounds(reconciler, 1);
        load.publish(0, 0, false);
        assertThat(load.report().ready()).isTrue();
        engine.unavailable = true;
        runRounds(reconciler, 3);
        load.publish(0, 0, false);
        assertThat(load.report().ready()).isFalse();
    }

    private EngineReconciler reconciler() {
        return new EngineReconciler(
                engine,
                loadDelayMillis.map(
                        delayMillis -> (version, requester) -> CompletableFuture.completedFuture(delayMillis)),
                () -> document,
                new EngineIdentity("engines", "worker-1", FENCING_TOKEN),
                load,
                () -> nowMillis,
                posted::add);
    }

    private void runRounds(EngineReconciler reconciler, int rounds) {
        for (int round = 0; round < rounds; round++) {
            nowMillis += 1_000;
            reconciler.tick();
            while (!posted.isEmpty()) {
                reconciler.handle(posted.poll());
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
        private int responsesToLose;
        private int ordersToReject;
        private long highestFencingToken;
        private boolean unavailable;

        @Override
        public CompletableFuture<EngineState> state() {
            return unavailable
                    ? failed(PlatformException.Effect.NONE)
                    : CompletableFuture.completedFuture(new EngineState(
                            List.copyOf(versions), List.of(), List.of(), "", 16, 0, 0, highestFencingToken));
        }

        @Override
        public CompletableFuture<EngineState> order(EngineOrder order) {
            orders.add(order);
            if (ordersToReject > 0) {
                ordersToReject--;
                return failed(PlatformException.Effect.NONE);
            }
            if (order.kind() == OrderKind.LOAD_VERSION) {
                versions.add(order.subject());
            } else {
                versions.remove(order.subject());
            }
            if (responsesToLose > 0) {
                responsesToLose--;
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
