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
 * Reconciles the engine's loaded versions with the routing document: polls the engine's state and sends orders to load
 * missing versions and to unload withdrawn ones.
 *
 * <p>Invariants: each order is derived from a state that was read after the previous order had completed, so a lost
 * response is resolved by reading the state; orders carry this incarnation as their fencing token, and none is sent
 * once the engine has seen a higher token; a load starts no earlier than the time assigned by the weight store. The
 * sidecar is the only issuer of orders to its engine and an order names a target state, so a late order of a paused
 * process is reverted after the next poll. All methods run on the thread of one {@link Duty}.
 */
final class EngineReconciler implements Duty.Handler<Runnable> {
    private static final Logger LOGGER = LogManager.getLogger(EngineReconciler.class);
    private static final int FAILURES_UNTIL_UNREADY = 3;
    private static final long POLL_INTERVAL_MILLIS = 500;

    private final EngineIdentity identity;
    private final EngineControl engine;
    private final Optional<WeightStore> weights;
    private final Supplier<RoutingDocument> document;
    private final LoadTracker load;
    private final LongSupplier clock;
    private final Consumer<Runnable> post;
    private final Map<String, Long> earliestLoadMillis = new HashMap<>();
    private boolean requestInFlight;
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
        if (!requestInFlight && clock.getAsLong() >= nextPollMillis) {
            requestInFlight = true;
            engine.state().whenComplete((state, error) -> post.accept(() -> handleState(state, error)));
        }
    }

    private void handleState(EngineState state, Throwable error) {
        requestInFlight = false;
        nextPollMillis = clock.getAsLong() + POLL_INTERVAL_MILLIS;
        if (error != null) {
            failures++;
            if (failures == FAILURES_UNTIL_UNREADY) {
                LOGGER.warn("engine of {} does not respond: {}", identity.instance(), error.getMessage());
            }
            if (failures >= FAILURES_UNTIL_UNREADY) {
                load.updateUpstream(false, load.report().versions());
            }
            return;
        }
        failures = 0;
        load.updateUpstream(true, state.versions());
        readCacheEvents();
        if (state.highestFencingToken() <= identity.fencingToken()) {
            nextOrder(state).ifPresent(this::sendOrder);
        }
    }

    private void readCacheEvents() {
        engine.cacheEvents(load.cacheEvents().lastSequence()).thenAccept(load.cacheEvents()::add);
    }

    private Optional<EngineOrder> nextOrder(EngineState state) {
        final Set<String> activeVersions = declaredVersions(ModelVersion.State.ACTIVE);
        final Set<String> withdrawnVersions = declaredVersions(ModelVersion.State.WITHDRAWN);
        final Optional<EngineOrder> unload = state.versions().stream()
                .filter(withdrawnVersions::contains)
                .filter(version -> load.report().running() == 0)
                .findFirst()
                .map(version -> new EngineOrder(OrderKind.UNLOAD_VERSION, version, identity.fencingToken()));
        if (unload.isPresent()) {
            return unload;
        }
        return activeVersions.stream()
                .sorted()
                .filter(version -> !state.versions().contains(version))
                .filter(version -> !state.loading().contains(version))
                .filter(this::isLoadAllowed)
                .findFirst()
                .map(version -> new EngineOrder(OrderKind.LOAD_VERSION, version, identity.fencingToken()));
    }

    private Set<String> declaredVersions(ModelVersion.State state) {
        return document.get().versions().values().stream()
                .filter(version -> version.service().equals(identity.service()))
                .filter(version -> version.state() == state)
                .map(version -> version.name().toString())
                .collect(Collectors.toSet());
    }

    private boolean isLoadAllowed(String version) {
        if (weights.isEmpty()) {
            return true;
        }
        final Long earliestMillis = earliestLoadMillis.get(version);
        if (earliestMillis == null) {
            earliestLoadMillis.put(version, Long.MAX_VALUE);
            weights.get()
                    .reserve(version, identity.instance())
                    .whenComplete((delay, error) -> post.accept(() -> {
                        if (error == null) {
                            earliestLoadMillis.put(version, clock.getAsLong() + delay);
                        } else {
                            earliestLoadMillis.remove(version);
                        }
                    }));
            return false;
        }
        return clock.getAsLong() >= earliestMillis;
    }

    private void sendOrder(EngineOrder order) {
        requestInFlight = true;
        LOGGER.info("sending order {} {} to the engine of {}", order.kind(), order.subject(), identity.instance());
        engine.order(order)
                .whenComplete((state, error) -> post.accept(() -> {
                    requestInFlight = false;
                    earliestLoadMillis.remove(order.subject());
                    if (error != null) {
                        LOGGER.warn("engine order {} {} failed: {}", order.kind(), order.subject(), error.getMessage());
                    }
                }));
    }
}
