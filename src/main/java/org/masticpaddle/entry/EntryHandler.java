package org.masticpaddle.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.document.EffectiveConfiguration;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.wire.DisconnectDetector;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.RunState;

/**
 * Handles the HTTP requests of callers and of other processes. Thread-safe: the entry's duty processes the requests.
 */
final class EntryHandler implements HttpHandler {
    private static final Logger LOGGER = LogManager.getLogger(EntryHandler.class);
    private static final String SERVICES_PREFIX = "/services/";
    // A body of the maximum size takes this long at 1.1 Mbit/s. Slower senders would only occupy a connection.
    private static final long BODY_TIMEOUT_MILLIS = 30_000;

    private static final int MAX_HEADER_BYTES = 32 * 1024;

    private final BodyReader bodyReader = new BodyReader(BODY_TIMEOUT_MILLIS);
    private final EntryLoop loop;
    private final RequestReader requestReader;
    private final Supplier<Optional<EffectiveConfiguration>> configuration;
    private final BiConsumer<CallerRequest, Responder> requestConsumer;
    private final EntryCounters counters;
    private final Map<String, HttpHandler> internalHandlers;
    private final HttpHandler operationsHandler;

    EntryHandler(
            EntryLoop loop,
            RequestReader requestReader,
            Supplier<Optional<EffectiveConfiguration>> configuration,
            BiConsumer<CallerRequest, Responder> requestConsumer,
            EntryCounters counters,
            Map<String, HttpHandler> internal,
            HttpHandler operations) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.requestReader = Objects.requireNonNull(requestReader, "requestReader is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.requestConsumer = Objects.requireNonNull(requestConsumer, "requestConsumer is null");
        this.counters = Objects.requireNonNull(counters, "counters is null");
        this.internalHandlers = Map.copyOf(internal);
        this.operationsHandler = Objects.requireNonNull(operations, "operations is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        final String path = exchange.getRequestPath();
        if (Exchanges.headerSize(exchange) > MAX_HEADER_BYTES) {
            reject(exchange, CallerError.notRun(CallerError.Kind.HEADERS_TOO_LARGE, "the headers are too large"));
        } else if (path.equals("/v1/chat/completions")) {
            if (requireMethod(exchange, "POST")) {
                readRequest(exchange, (body, document) -> requestReader.readChat(exchange, body, document));
            }
        } else if (path.startsWith(SERVICES_PREFIX)) {
            readRequest(
                    exchange, (body, document) -> requestReader.readPlain(exchange, body, document, SERVICES_PREFIX));
        } else if (path.equals("/v1/models")) {
            if (requireMethod(exchange, "GET")) {
                sendModels(exchange);
            }
        } else if (internalHandlers.containsKey(path)) {
            internalHandlers.get(path).handleRequest(exchange);
        } else {
            operationsHandler.handleRequest(exchange);
        }
    }

    private static boolean requireMethod(HttpServerExchange exchange, String method) {
        if (method.equals(exchange.getRequestMethod().toString())) {
            return true;
        }
        reject(exchange, CallerError.notRun(CallerError.Kind.METHOD_NOT_ALLOWED, "only " + method + " is supported"));
        return false;
    }

    private void readRequest(HttpServerExchange exchange, BiFunction<byte[], RoutingDocument, CallerRequest> parse) {
        bodyReader.read(exchange, body -> accept(exchange, body, parse));
    }

    private void accept(
            HttpServerExchange exchange, byte[] body, BiFunction<byte[], RoutingDocument, CallerRequest> parse) {
        try {
            final RoutingDocument document = document();
            final CallerRequest request = parse.apply(body, document);
            final Responder responder =
                    new CountingResponder(responder(exchange, request), request, counters, System::nanoTime);
            DisconnectDetector.start(exchange);
            if (!loop.offer(() -> requestConsumer.accept(request, responder))) {
                responder.fail(CallerError.notRun(CallerError.Kind.OVERLOADED, "the entry has too much work"));
            }
        } catch (CallerErrorException e) {
            reject(exchange, e.error());
        } catch (RuntimeException e) {
            LOGGER.error("internal error before the request was queued", e);
            reject(
                    exchange,
                    CallerError.failed(
                            CallerError.Kind.UPSTREAM_FAILED, "the entry failed internally", RunState.NOT_RUN));
        }
    }

    /** Answers a request that has no identifier yet with an error, and logs it. */
    private static void reject(HttpServerExchange exchange, CallerError error) {
        AccessLog.logRejection(exchange.getRequestMethod().toString(), exchange.getRequestPath(), error);
        CallerErrorWriter.send(exchange, error);
    }

    private RoutingDocument document() {
        return configuration
                .get()
                .map(EffectiveConfiguration::document)
                .orElseThrow(() -> new CallerErrorException(
                        CallerError.notRun(CallerError.Kind.NOT_READY, "no routing document is in effect yet")));
    }

    private static Responder responder(HttpServerExchange exchange, CallerRequest request) {
        if (request.target() instanceof CallerRequest.Chat chat) {
            return chat.stream()
                    ? new StreamResponder(exchange, request.id())
                    : new BufferingResponder(exchange, request.id(), BufferingResponder.Format.CHAT);
        }
        return new BufferingResponder(exchange, request.id(), BufferingResponder.Format.PLAIN);
    }

    private void sendModels(HttpServerExchange exchange) {
        try {
            final RoutingDocument document = document();
            final Organisation organisation = requestReader.authenticate(exchange, document);
            Exchanges.respond(exchange, 200, ModelList.of(document.activeVersions(organisation)));
        } catch (CallerErrorException e) {
            reject(exchange, e.error());
        }
    }

    /**
     * Body of the response to {@code GET /v1/models}.
     *
     * @param object always {@code list}
     * @param data names that the organisation may use as model selectors
     */
    record ModelList(String object, List<Entry> data) {
        static ModelList of(List<ModelVersion> versions) {
            final List<String> models = versions.stream()
                    .map(version -> version.name().model())
                    .distinct()
                    .toList();
            final List<Entry> entries = new ArrayList<>();
            entries.add(new Entry("auto", "model", "masticpaddle"));
            models.forEach(model -> entries.add(new Entry(model, "model", "masticpaddle")));
            versions.forEach(version -> entries.add(new Entry(version.name().toString(), "model", "masticpaddle")));
            return new ModelList("list", entries);
        }

        /**
         * One model or version.
         *
         * @param id value of a request's field {@code model}
         * @param object always {@code model}
         * @param ownedBy always {@code masticpaddle}
         */
        record Entry(
                String id,
                String object,
                @JsonProperty("owned_by") String ownedBy) {}
    }
}
