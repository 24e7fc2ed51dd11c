package org.masticpaddle.standin;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.EngineControl.EngineOrder;
import org.masticpaddle.platform.EngineControl.EngineState;
import org.masticpaddle.platform.EngineControl.OrderKind;
import org.masticpaddle.platform.HttpEngineControl;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Json;

/**
 * Stand-in for a model engine.
 *
 * <p>A broken connection does not end a run: it goes on until it finishes or is cancelled, and can be resumed. An
 * engine does not recognise repeated requests: the journal counts each as one more run. Thread-safe.
 */
public final class EngineStandIn extends HttpStandIn {
    private static final String KV = "/engine/kv/";

    private final EngineSettings settings;
    private final EngineJournal journal = new EngineJournal();
    private final EngineControlState orders;
    private final StandInServer server;
    private final EngineBatch batch;
    private final AtomicLong unnamed = new AtomicLong();
    private volatile HttpEngineControl.EngineLoad load;

    /**
     * Creates an engine.
     *
     * @param settings size, speed and habits
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.orders = new EngineControlState(settings);
        this.server = new StandInServer(
                "engine",
                faults(),
                exchange -> Map.of("requests", journal.entries(), "orders", orders.journal()),
                this::handle);
        this.batch = new EngineBatch(settings, server, journal);
        this.load = measureLoad();
    }

    @Override
    public void start() {
        server.start();
        sampleLoad();
    }

    /**
     * Lists what became of each request.
     *
     * @return the entries in the order of arrival
     */
    public List<EngineJournal.Entry> journal() {
        return journal.entries();
    }

    /**
     * Finds what became of a request.
     *
     * @param requestId identifier of the request
     * @return the entry, if the request arrived and was accepted
     */
    public Optional<EngineJournal.Entry> journalEntry(String requestId) {
        return journal.find(requestId);
    }

    /**
     * Returns the state without lag.
     *
     * @return the state
     */
    public EngineState state() {
        return new EngineState(
                orders.versions(),
                orders.loading(),
                orders.adapters(),
                orders.role(),
                settings.slots(),
                batch.runningCount(),
                batch.waitingCount(),
                orders.highestToken());
    }

    /**
     * Builds the answer that this engine gives when it has no faults().
     *
     * @param version version, {@code model/version}
     * @param prompt for each message its role, a colon, a space, its content and a line feed
     * @param requestId identifier of the request
     * @param maxTokens tokens wanted, 0 to let the prompt decide
     * @return the text
     */
    public String expectedAnswer(String version, String prompt, String requestId, int maxTokens) {
        return AnswerText.of(
                version, prompt, requestId, settings.version(version).quality(), maxTokens);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        final String path = exchange.getRequestPath();
        final String route = exchange.getRequestMethod() + " " + (path.startsWith(KV) ? KV : path);
        switch (route) {
            case "POST /v1/chat/completions" -> complete(exchange, body);
            case "POST /engine/resume" -> resume(exchange, Json.tree(body));
            case "POST /engine/cancel" -> {
                final boolean cancelled =
                        batch.cancel(Json.tree(body).path("id").asText());
                server.respond(exchange, 200, Map.of("cancelled", cancelled));
            }
            case "GET /engine/state" -> server.respond(exchange, 200, state());
            case "POST /engine/orders" -> order(exchange, Json.decode(body, EngineOrder.class));
            case "GET /engine/events" ->
                server.respond(
                        exchange,
                        200,
                        new HttpEngineControl.CacheEvents(batch.events(Exchanges.queryLong(exchange, "after", 0))));
            case "GET /engine/load" -> server.respond(exchange, 200, load);
            case "GET " + KV -> exportRun(exchange, path.substring(KV.length()));
            case "PUT " + KV -> importRun(exchange, path.substring(KV.length()), Json.decode(body, ExportedRun.class));
            default -> StandInServer.respondNotFound(exchange);
        }
    }

    private void complete(HttpServerExchange exchange, byte[] body) {
        final EngineRequest request = EngineRequest.read(exchange, body, "run-" + unnamed.incrementAndGet());
        final String version = request.version();
        if (faults().occurs(Fault.REFUSE, version)) {
            server.respond(exchange, 503, StandInServer.errorBody("refused", "the engine takes no work"));
        } else if (!orders.serves(version)) {
            server.respond(exchange, 404, StandInServer.errorBody("model_not_found", version + " is not loaded"));
        } else {
            run(exchange, request);
        }
    }

    private void run(HttpServerExchange exchange, EngineRequest request) {
        journal.accepted(request);
        final EngineRun run = new EngineRun(request, behaviour(request.version()));
        if (fails(request)) {
            journal.update(request.id(), entry -> entry.ended(0, false, true));
            server.respond(exchange, 500, StandInServer.errorBody("engine_error", "the version failed"));
            return;
        }
        if (faults().occurs(Fault.ANSWER_LOST, request.version())) {
            StandInServer.disconnect(exchange);
        } else {
            new AnswerWriter(exchange, run.buffer(), 0).start(run.contentType());
        }
        if (faults().occurs(Fault.HANG, request.version())) {
            batch.remember(run);
        } else {
            batch.add(run);
        }
    }

    private boolean fails(EngineRequest request) {
        final long percent = faults().value(Fault.VERSION_ERRORS, request.version());
        return percent == 0 || percent > 0 && Math.floorMod(Hashing.hash64(request.id()), 100) < percent;
    }

    private EngineRun.Behaviour behaviour(String version) {
        final EngineSettings.Version known = settings.version(version);
        final long low = faults().value(Fault.VERSION_LOW_QUALITY, version);
        final long slow = faults().value(Fault.VERSION_SLOW, version);
        return new EngineRun.Behaviour(
                low >= 0 ? low / 100.0 : known.quality(),
                known.slowness() * Math.max(1, slow),
                faults().occurs(Fault.ANSWER_OF_ANOTHER, version),
                faults().occurs(Fault.ANSWER_CUT, version),
                faults().occurs(Fault.ANSWER_DUPLICATED, version),
                TimeUnit.MILLISECONDS.toNanos(Math.max(0, faults().value(Fault.ANSWER_LATE, version))));
    }

    private void resume(HttpServerExchange exchange, JsonNode message) {
        final Optional<EngineRun> found = batch.find(message.path("id").asText());
        final long from = message.path("from").asLong(0);
        if (found.isEmpty()) {
            server.respond(exchange, 404, StandInServer.errorBody("unknown_request", "no such request"));
        } else if (from < 0 || from > found.get().buffer().length()) {
            server.respond(exchange, 416, StandInServer.errorBody("bad_offset", "from is past the answer so far"));
        } else {
            final EngineRun run = found.get();
            new AnswerWriter(exchange, run.buffer(), (int) from).start(run.contentType());
            batch.resume(run);
        }
    }

    private void order(HttpServerExchange exchange, EngineOrder order) {
        if (order.kind() == null || order.subject() == null) {
            throw new IllegalArgumentException("an order needs kind and subject");
        }
        if (!orders.accept(order)) {
            server.respond(exchange, 409, StandInServer.errorBody("old_fencing_token", "a higher token was seen"));
            return;
        }
        if (order.kind() == OrderKind.UNLOAD_VERSION) {
            batch.dropVersion(order.subject());
        }
        if (orders.startsLoad(order)) {
            final double nanos = settings.loadMillis() * settings.timeScale() * 1e6;
            server.schedule(() -> orders.finishLoading(order.subject()), (long) nanos);
        }
        server.respond(exchange, 200, state());
    }

    private void exportRun(HttpServerExchange exchange, String id) {
        final Optional<EngineRun> found = batch.find(id);
        if (found.isEmpty()) {
            server.respond(exchange, 404, StandInServer.errorBody("unknown_request", "no such request"));
            return;
        }
        server.respond(
                exchange,
                200,
                new ExportedRun(
                        found.get().request(),
                        found.get().emitted(),
                        found.get().quality()));
    }

    private void importRun(HttpServerExchange exchange, String id, ExportedRun exported) {
        if (exported.request() == null || !id.equals(exported.request().id())) {
            throw new IllegalArgumentException("the path and the request name different identifiers");
        }
        if (batch.find(id).isPresent()) {
            server.respond(exchange, 409, StandInServer.errorBody("known_request", "the request is here already"));
            return;
        }
        final EngineRun run = new EngineRun(
                exported.request(), new EngineRun.Behaviour(exported.quality(), 1, false, false, false, 0));
        journal.imported(exported.request());
        run.emit(exported.emitted());
        if (run.state() != EngineRun.State.DONE) {
            run.cancel();
        }
        batch.importPrefix(exported.request().version(), exported.request().prompt());
        batch.remember(run);
        server.respond(exchange, 200, Map.of());
    }

    private void sampleLoad() {
        load = measureLoad();
        server.schedule(this::sampleLoad, TimeUnit.MILLISECONDS.toNanos(Math.max(1, settings.reportLagMillis())));
    }

    private HttpEngineControl.EngineLoad measureLoad() {
        return new HttpEngineControl.EngineLoad(
                System.currentTimeMillis(),
                batch.runningCount(),
                batch.waitingCount(),
                settings.slots(),
                batch.cachedBlocks());
    }

    /** Export of a run's KV cache. Immutable. */
    record ExportedRun(EngineRequest request, int emitted, double quality) {}

    @Override
    StandInServer server() {
        return server;
    }
}
