package org.masticpaddle.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.kernel.Duty;
import org.masticpaddle.platform.EngineControl;
import org.masticpaddle.platform.EngineControl.EngineOrder;
import org.masticpaddle.platform.EngineControl.EngineState;
import org.masticpaddle.platform.EngineControl.OrderKind;
import org.masticpaddle.platform.WeightStore;

/**
 * Keeps the engine's loaded versions equal to the document: reads its state, and orders what is missing.
 *
 * <p>Invariants: each order follows a state that was read after the answer to the previous one, so a lost answer is
 * settled by reading; orders carry this incarnation as the fencing token, and none is given beside a newer one; a load starts only at the time that the weight
 * store gave. The sidecar is the only issuer of orders to its engine, and an order states a wanted state, so that a late
 * order of a paused process is undone by the next reading. All methods run on the thread of one {@link Duty}.
 */
final class EngineReconciler implements Duty.Handler<Runnable> {
    private static final Logger LOGGER = LogManager.getLogger(EngineReconciler.class);
    private static final int FAILURES_UNTIL_UNREADY = 3;
    private static final long POLL_MILLIS = 500;

    private final EngineIdentity identity;
    private final EngineControl engine;
    private final Optional<WeightStore> weights;
    private final Supplier<RoutingDocument> document;
    private final LoadTracker load;
    private final LongSupplier clock;
    private final Consumer<Runnable> post;
    private final Map<String, Long> loadNotBefore = new HashMap<>();
    private boolean calling;
    private int failures;
    private long nextPollMillis;

    EngineReconciler(
            EngineControl engine,
            Optional<WeightStore> weights,
            Supplier<RoutingDocument> document,
            EngineIdentity identity,
            LoadTracker load,
            LongSupplier clock,
            Consumer<Runnable> post) {
        this.engine = Objects.requireNonNull(engine, "engine is null");
        this.weights = Objects.requireNonNull(weights, "weights is null");
        this.document = Objects.requireNonNull(document, "document is null");
        this.identity = Objects.requireNonNull(identity, "identity is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.post = Objects.requireNonNull(post, "post is null");
    }

    @Override
    public void handle(Runnable action) {
        action.run();
    }

    @Override
    public void tick() {
        if (!calling && clock.getAsLong() >= nextPollMillis) {
            calling = true;
            engine.state().whenComplete((state, error) -> post.accept(() -> read(state, error)));
        }
    }

    private void read(EngineState state, Throwable error) {
        calling = false;
        nextPollMillis = clock.getAsLong() + POLL_MILLIS;
        if (error != null) {
            failures++;
            if (failures == FAILURES_UNTIL_UNREADY) {
                LOGGER.warn("engine of {} does not answer: {}", identity.instance(), error.getMessage());
            }
            if (failures >= FAILURES_UNTIL_UNREADY) {
                load.upstream(false, load.report().versions());
            }
            return;
        }
        failures = 0;
        load.upstream(true, state.versions());
        readCacheEvents();
        if (state.highestFencingToken() <= identity.fencingToken()) {
            nextOrder(state).ifPresent(this::give);
        }
    }

    private void readCacheEvents() {
        engine.cacheEvents(load.cacheEvents().last()).thenAccept(load.cacheEvents()::add);
    }

    private Optional<EngineOrder> nextOrder(EngineState state) {
        final Set<String> wanted = declared(ModelVersion.State.ACTIVE);
        final Set<String> withdrawn = declared(ModelVersion.State.WITHDRAWN);
        final Optional<EngineOrder> unload = state.versions().stream()
                .filter(withdrawn::contains)
                .filter(version -> load.report().running() == 0)
                .findFirst()
                .map(version -> new EngineOrder(OrderKind.UNLOAD_VERSION, version, identity.fencingToken()));
        if (unload.isPresent()) {
            return unload;
        }
        return wanted.stream()
                .sorted()
                .filter(version -> !state.versions().contains(version))
                .filter(version -> !state.loading().contains(version))
                .filter(this::mayLoad)
                .findFirst()
                .map(version -> new EngineOrder(OrderKind.LOAD_VERSION, version, identity.fencingToken()));
    }

    private Set<String> declared(ModelVersion.State state) {
        return document.get().versions().values().stream()
                .filter(version -> version.service().equals(identity.service()))
                .filter(version -> version.state() == state)
                .map(version -> version.name().toString())
                .collect(Collectors.toSet());
    }

    private boolean mayLoad(String version) {
        if (weights.isEmpty()) {
            return true;
        }
        final Long notBefore = loadNotBefore.get(version);
        if (notBefore == null) {
            loadNotBefore.put(version, Long.MAX_VALUE);
            weights.get()
                    .reserve(version, identity.instance())
                    .whenComplete((delay, error) -> post.accept(() -> {
                        if (error == null) {
                            loadNotBefore.put(version, clock.getAsLong() + delay);
                        } else {
                            loadNotBefore.remove(version);
                        }
                    }));
            return false;
        }
        return clock.getAsLong() >= notBefore;
    }

    private void give(EngineOrder order) {
        calling = true;
        LOGGER.info("order {} {} to the engine of {}", order.kind(), order.subject(), identity.instance());
        engine.order(order)
                .whenComplete((state, error) -> post.accept(() -> {
                    calling = false;
                    loadNotBefore.remove(order.subject());
                    if (error != null) {
                        LOGGER.warn("order {} {} failed: {}", order.kind(), order.subject(), error.getMessage());
                    }
                }));
    }
}
