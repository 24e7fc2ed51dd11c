package org.masticpaddle.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Orders to and state of one model engine. Thread-safe. */
public interface EngineControl {
    /**
     * Reads the engine's state.
     *
     * @return the state; fails with {@link PlatformException}
     */
    CompletableFuture<EngineState> state();

    /**
     * Gives an order. An order whose answer was lost is settled by reading {@link #state()}.
     *
     * @param order the order
     * @return the state after it; fails with {@link PlatformException}, also when the engine refuses the fencing token
     */
    CompletableFuture<EngineState> order(EngineOrder order);

    /**
     * Reads cache events. Events may be missing, which a gap in their numbers shows.
     *
     * @param afterSequence number of the last event already known
     * @return events in order; fails with {@link PlatformException}
     */
    CompletableFuture<List<CacheEvent>> cacheEvents(long afterSequence);

    /** Kind of an order. */
    enum OrderKind {
        /** Load a version. */
        LOAD_VERSION,
        /** Unload a version. */
        UNLOAD_VERSION,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Unload an adapter. */
        UNLOAD_ADAPTER,
        /** Change the role, for example to prefill only. */
        CHANGE_ROLE
    }

    /**
     * One order. Immutable.
     *
     * @param kind kind
     * @param subject version {@code model/version}, adapter or role
     * @param fencingToken number that grows with each new issuer of orders
     */
    record EngineOrder(OrderKind kind, String subject, long fencingToken) {}

    /**
     * State of an engine. Immutable.
     *
     * @param versions loaded versions, each {@code model/version}
     * @param loading versions that are being loaded
     * @param adapters loaded adapters
     * @param role current role
     * @param slots requests that run at the same time
     * @param running requests that run now
     * @param waiting requests that wait in the engine
     * @param highestFencingToken highest fencing token accepted so far
     */
    record EngineState(
            List<String> versions,
            List<String> loading,
            List<String> adapters,
            String role,
            int slots,
            int running,
            int waiting,
            long highestFencingToken) {}

    /**
     * One change of the prefix cache. Immutable.
     *
     * @param sequence number of the event, ascending
     * @param version version whose cache changed
     * @param prefixHash hash of the prefix block
     * @param stored {@code true} if stored, {@code false} if evicted
     */
    record CacheEvent(long sequence, String version, long prefixHash, boolean stored) {}
}
