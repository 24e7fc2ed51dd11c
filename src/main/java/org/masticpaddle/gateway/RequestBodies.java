package org.masticpaddle.gateway;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.memory.RequestMemory;
import org.masticpaddle.metrics.Gauge;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.wire.RequestBody;
import org.masticpaddle.wire.RequestBodyReader;

/**
 * Reads the bodies of callers' requests within the memory for requests and the time of each request, which runs from its head.
 *
 * <p>Invariants: a body gets no memory before it was reserved; a request that is not read to its end is rejected before its
 * deadline has passed by more than the lateness of the event loop, or its caller has disconnected. Used on the event loop only,
 * except {@link #gauges()}.
 */
final class RequestBodies {
    /** Part of the time of a request in which memory must be free; the rest is left for another gateway. */
    private static final double WAIT_SHARE = 0.5;
    /** Time within which a body must have arrived if neither its route nor its caller states one, in milliseconds. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    private final RequestMemory memory;
    private final MemoryBudget answerMemory;
    private final Scheduler scheduler;
    private final long maxBodyBytes;
    // Weak references, since an exchange never completes if its connection is closed while it is processed.
    private final Set<RequestBodyReader> readers = Collections.newSetFromMap(new WeakHashMap<>());

    /**
     * Creates a reader of bodies.
     *
     * @param memory memory for the bodies
     * @param answerMemory memory for answers, which is named in the log beside that for bodies
     * @param scheduler clock and timers of the event loop
     * @param maxBodyBytes largest size of a body, whatever the routing table allows
     */
    RequestBodies(RequestMemory memory, MemoryBudget answerMemory, Scheduler scheduler, long maxBodyBytes) {
        this.memory = Objects.requireNonNull(memory, "memory is null");
        this.answerMemory = Objects.requireNonNull(answerMemory, "answerMemory is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Reads the body of a request.
     *
     * @param exchange exchange whose body has not been read; called by its handler
     * @param head what is known of the request
     * @param onBody receives the body, to be released when the request cannot be sent again
     * @param onRejected responds to a request whose body is not read to its end
     */
    void read(
            HttpServerExchange exchange,
            Head head,
            Consumer<RequestBody> onBody,
            Consumer<RequestBodyReader.Rejection> onRejected) {
        final long timeoutMillis = head.timeoutMillis();
        readers.add(RequestBodyReader.start(
                exchange,
                memory,
                head.organisation(exchange),
                scheduler,
                new RequestBodyReader.Limits(
                        Math.min(maxBodyBytes, head.maxBodyBytes()),
                        (long) (timeoutMillis * WAIT_SHARE),
                        timeoutMillis),
                new RequestBodyReader.Listener() {
                    @Override
                    public void onBody(RequestBody body) {
                        onBody.accept(body);
                    }

                    @Override
                    public void onRejected(RequestBodyReader.Rejection rejection) {
                        onRejected.accept(rejection);
                    }
                }));
    }

    /** Rejects the requests whose bodies are being read, since the process is about to end. */
    void stop() {
        List.copyOf(readers).forEach(reader -> reader.reject(RequestBodyReader.Rejection.STOPPED));
    }

    /** Returns what holds memory, as names and values of the fields of a log line. */
    Object[] holders() {
        return new Object[] {
            "bytes_being_read",
            memory.heldBytes(RequestMemory.Kind.READING),
            "bytes_kept",
            memory.heldBytes(RequestMemory.Kind.KEPT),
            "bytes_of_answers",
            answerMemory.heldBytes(),
            "bytes_for_slow_callers",
            answerMemory.heldBytes(MemoryBudget.Kind.QUEUED),
            "requests_waiting",
            memory.waiting()
        };
    }

    /**
     * Lists the gauges of the memory for bodies. They may be read by any thread.
     *
     * @return gauges of the bytes that are held and of the requests that wait
     */
    List<Gauge> gauges() {
        return List.of(
                Gauge.of("gateway.body_bytes_held", "bytes reserved for bodies of requests", memory::heldBytes),
                Gauge.of("gateway.bodies_waiting", "requests that wait for memory", memory::waiting),
                Gauge.of(
                        "gateway.answer_bytes_collected",
                        "bytes of answers that are not complete",
                        () -> answerMemory.heldBytes(MemoryBudget.Kind.COLLECTED)),
                Gauge.of(
                        "gateway.answer_bytes_queued",
                        "bytes of answers that their callers have not taken",
                        () -> answerMemory.heldBytes(MemoryBudget.Kind.QUEUED)));
    }

    /**
     * What is known of a request before its body is read. Immutable.
     *
     * @param table routing table, empty if none is known yet
     * @param route route that matches, empty if none does
     * @param request metadata of the request
     */
    record Head(Optional<RoutingTable> table, Optional<Route> route, InboundRequest request) {
        long timeoutMillis() {
            return Math.min(
                    request.timeoutMillis().orElse(DEFAULT_TIMEOUT_MILLIS),
                    route.map(Route::timeoutMillis).orElse(DEFAULT_TIMEOUT_MILLIS));
        }

        long maxBodyBytes() {
            return table.map(RoutingTable::limits).orElse(RequestLimits.DEFAULT).maxBodyBytes();
        }

        /** Returns the organisation of the key, or the host that the request comes from. */
        String organisation(HttpServerExchange exchange) {
            return request.key()
                    .flatMap(key -> table.flatMap(known -> known.keyOwner(key)))
                    .map(KeyOwner::organisation)
                    .orElseGet(() -> exchange.getSourceAddress().getHostString());
        }
    }
}
