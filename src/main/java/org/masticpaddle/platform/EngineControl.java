package org.masticpaddle.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Control interface of one model engine: its state, orders to it and the events of its prefix cache. Thread-safe. */
public interface EngineControl {
    /**
     * Reads the engine's state.
     *
     * @return the current state; completes exceptionally with {@link PlatformException}
     */
    CompletableFuture<EngineState> state();

    /**
     * Sends an order to the engine. If the response is lost, {@link #state()} shows whether the engine accepted the
     * order.
     *
     * @param order order with its fencing token
     * @return the state after the order; completes exceptionally with {@link PlatformException}, also when the engine
     *     rejects the fencing token
     */
    CompletableFuture<EngineState> order(EngineOrder order);

    /**
     * Reads events of the prefix cache. Events may be lost; a gap in the sequence numbers reveals the loss.
     *
     * @param afterSequence sequence number of the last event that was received
     * @return later events in ascending order; completes exceptionally with {@link PlatformException}
     */
    CompletableFuture<List<CacheEvent>> cacheEvents(long afterSequence);

    /** Operation that an order requests. */
    enum OrderKind {
        /** Load the weights of a version. */
        LOAD_VERSION,
        /** Unload the weights of a version. */
        UNLOAD_VERSION,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Unload an adapter. */
        UNLOAD_ADAPTER,
        /** Change the engine's role, for example to prefill only. */
        CHANGE_ROLE
    }

    /**
     * Order to an engine. Immutable.
     *
     * @param kind requested operation
     * @param subject what the operation applies to: a version as {@code model/version}, an adapter or a role
     * @param fencingToken fencing token of the issuer; each new issuer of orders uses a higher one
     */
    record EngineOrder(OrderKind kind, String subject, long fencingToken) {}

    /**
     * State of an engine. Immutable.
     *
     * @param versions loaded versions, each as {@code model/version}
     * @param loading versions that are being loaded, each as {@code model/version}
     * @param adapters names of the loaded adapters
     * @param role current role
     * @param slots maximum number of requests that run concurrently
     * @param running number of running requests
     * @param waiting number of requests queued in the engine
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
     * Change of one block in the prefix cache. Immutable.
     *
     * @param sequence sequence number of the event, ascending
     * @param version version whose cache changed, as {@code model/version}
     * @param prefixHash hash of the block, see {@link PrefixBlocks}
     * @param stored {@code true} if the block was stored, {@code false} if it was evicted
     */
    record CacheEvent(long sequence, String version, long prefixHash, boolean stored) {}
}
