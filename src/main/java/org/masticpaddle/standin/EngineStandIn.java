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
 * Test double of a model engine that serves chat completions, control orders, cache events and KV cache exports.
 *
 * <p>A run continues when its connection breaks; it ends when it finishes or is cancelled, and a cancelled run can be
 * resumed. Repeated requests are not deduplicated: each one runs and is counted in the journal. Thread-safe.
 */
public final class EngineStandIn extends HttpStandIn {
    private static final String KV_PATH_PREFIX = "/engine/kv/";

    private final EngineSettings settings;
    private final EngineJournal journal = new EngineJournal();
    private final EngineControlState controlState;
    private final StandInServer server;
    private final EngineBatch batch;
    private final AtomicLong generatedIds = new AtomicLong();
    private volatile HttpEngineControl.EngineLoad lastLoad;

    /**
     * Creates an engine that is not yet listening.
     *
     * @param settings capacity, speed and reporting behaviour
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.controlState = new EngineControlState(settings);
        this.server = new StandInServer(
                "engine",
                faults(),
                exchange -> Map.of("requests", journal.entries(), "orders", controlState.journal()),
                this::handle);
        this.batch = new EngineBatch(settings, server, journal);
        this.lastLoad = measureLoad();
    }

    @Override
    public void start() {
        server.start();
        sampleLoad();
    }

    /**
     * Lists the journal entries of the accepted requests.
     *
     * @return the entries in order of arrival
     */
    public List<EngineJournal.Entry> journal() {
        return journal.entries();
    }

    /**
     * Returns the journal entry of a request.
     *
     * @param requestId identifier of the request
     * @return the entry, or empty if no such request was accepted or imported
     */
    public Optional<EngineJournal.Entry> journalEntry(String requestId) {
        return journal.find(requestId);
    }

    /**
     * Returns the current state, without the lag of the load reports.
     *
     * @return loaded versions, role, and numbers of running and waiting requests
     */
    public EngineState state() {
        return new EngineState(
                controlState.versions(),
                controlState.loading(),
                controlState.adapters(),
                controlState.role(),
                settings.slots(),
                batch.runningCount(),
                batch.waitingCount(),
                controlState.highestToken());
    }

    /**
     * Returns the answer that this engine gives to a request when no fault is enabled.
     *
     * @param version version as {@code model/version}
     * @param prompt for each message its role, a colon, a space, its content and a line feed
     * @param requestId identifier of the request
     * @param maxTokens number of tokens; 0 for a number from 8 to 40 that the other arguments determine
     * @return text of the answer
     */
    public String expectedAnswer(String version, String prompt, String requestId, int maxTokens) {
        return AnswerText.of(
                version, prompt, requestId, settings.version(version).quality(), maxTokens);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        final String path = exchange.getRequestPath();
        final String route =
                exchange.getRequestMethod() + " " + (path.startsWith(KV_PATH_PREFIX) ? KV_PATH_PREFIX : path);
        switch (route) {
            case "POST /v1/chat/completions" -> handleCompletion(exchange, body);
            case "POST /engine/resume" -> handleResume(exchange, Json.tree(body));
            case "POST /engine/cancel" -> {
                final boolean cancelled =
                        batch.cancel(Json.tree(body).path("id").asText());
                server.respond(exchange, 200, Map.of("cancelled", cancelled));
            }
            case "GET /engine/state" -> server.respond(exchange, 200, state());
            case "POST /engine/orders" -> handleOrder(exchange, Json.decode(body, EngineOrder.class));
            case "GET /engine/events" ->
                server.respond(
                        exchange,
                        200,
                        new HttpEngineControl.CacheEvents(
                                batch.cacheEvents(Exchanges.queryLong(exchange, "after", 0))));
            case "GET /engine/load" -> server.respond(exchange, 200, lastLoad);
            case "GET " + KV_PATH_PREFIX -> exportRun(exchange, path.substring(KV_PATH_PREFIX.length()));
            case "PUT " + KV_PATH_PREFIX ->
                importRun(exchange, path.substring(KV_PATH_PREFIX.length()), Json.decode(body, ExportedRun.class));
            default -> StandInServer.respondNotFound(exchange);
        }
    }

    private void handleCompletion(HttpServerExchange exchange, byte[] body) {
        final EngineRequest request = EngineRequest.read(exchange, body, "run-" + generatedIds.incrementAndGet());
        final String version = request.version();
        if (faults().trigger(Fault.REFUSE, version)) {
            server.respond(exchange, 503, StandInServer.errorBody("refused", "the engine takes no work"));
        } else if (!controlState.serves(version)) {
            server.respond(exchange, 404, StandInServer.errorBody("model_not_found", version + " is not loaded"));
        } else {
            startRun(exchange, request);
        }
    }

    private void startRun(HttpServerExchange exchange, EngineRequest request) {
        journal.recordAccepted(request);
        final EngineRun run = new EngineRun(request, behaviour(request.version()));
        if (failsByFault(request)) {
            journal.update(request.id(), entry -> entry.ended(0, false, true));
            server.respond(exchange, 500, StandInServer.errorBody("engine_error", "the version failed"));
            return;
        }
        if (faults().trigger(Fault.ANSWER_LOST, request.version())) {
            StandInServer.disconnect(exchange);
        } else {
            new AnswerWriter(exchange, run.buffer(), 0).start(run.contentType());
        }
        if (faults().trigger(Fault.HANG, request.version())) {
            batch.retain(run);
        } else {
            batch.add(run);
        }
    }

    private boolean failsByFault(EngineRequest request) {
        final long percent = faults().triggerValue(Fault.VERSION_ERRORS, request.version());
        return percent == 0 || percent > 0 && Math.floorMod(Hashing.hash64(request.id()), 100) < percent;
    }

    private EngineRun.Behaviour behaviour(String version) {
        final EngineSettings.Version configured = settings.version(version);
        final long qualityPercent = faults().triggerValue(Fault.VERSION_LOW_QUALITY, version);
        final long slowdown = faults().triggerValue(Fault.VERSION_SLOW, version);
        return new EngineRun.Behaviour(
                qualityPercent >= 0 ? qualityPercent / 100.0 : configured.quality(),
                configured.slowness() * Math.max(1, slowdown),
                faults().trigger(Fault.ANSWER_OF_ANOTHER, version),
                faults().trigger(Fault.ANSWER_CUT, version),
                faults().trigger(Fault.ANSWER_DUPLICATED, version),
                TimeUnit.MILLISECONDS.toNanos(Math.max(0, faults().triggerValue(Fault.ANSWER_LATE, version))));
    }

    private void handleResume(HttpServerExchange exchange, JsonNode message) {
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

    private void handleOrder(HttpServerExchange exchange, EngineOrder order) {
        if (order.kind() == null || order.subject() == null) {
            throw new IllegalArgumentException("an order needs kind and subject");
        }
        if (!controlState.accept(order)) {
            server.respond(exchange, 409, StandInServer.errorBody("old_fencing_token", "a higher token was seen"));
            return;
        }
        if (order.kind() == OrderKind.UNLOAD_VERSION) {
            batch.evictVersion(order.subject());
        }
        if (controlState.isLoading(order)) {
            final double nanos = settings.loadMillis() * settings.timeScale() * 1e6;
            server.schedule(() -> controlState.finishLoading(order.subject()), (long) nanos);
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
        journal.recordImported(exported.request());
        run.emit(exported.emitted());
        if (run.state() != EngineRun.State.DONE) {
            run.cancel();
        }
        batch.importPrefix(exported.request().version(), exported.request().prompt());
        batch.retain(run);
        server.respond(exchange, 200, Map.of());
    }

    private void sampleLoad() {
        lastLoad = measureLoad();
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

    /**
     * Export of a run's KV cache, with which another engine can resume the run. Immutable.
     *
     * @param request the run's request
     * @param emitted number of tokens generated so far
     * @param quality true quality of the answer, 0 to 1
     */
    record ExportedRun(EngineRequest request, int emitted, double quality) {}

    @Override
    StandInServer server() {
        return server;
    }
}
