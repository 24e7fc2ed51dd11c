package org.masticpaddle.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;
import org.masticpaddle.wire.RunState;

/** Handles {@code POST /internal/explain}. Thread-safe: calls the explainer on the entry's duty. */
final class ExplainHandler implements HttpHandler {
    private static final Logger LOGGER = LogManager.getLogger(ExplainHandler.class);

    private final EntryLoop loop;
    private final SessionBinder sessionBinder;
    private final RequestExplainer explainer;

    ExplainHandler(EntryLoop loop, SessionBinder sessionBinder, RequestExplainer explainer) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.sessionBinder = Objects.requireNonNull(sessionBinder, "sessionBinder is null");
        this.explainer = Objects.requireNonNull(explainer, "explainer is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Exchanges.readBody(exchange, body -> {
            try {
                final ExplainQuery query = Json.decode(body, ExplainQuery.class);
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    if (!loop.offer(() -> runAndReportErrors(exchange, () -> explain(exchange, query)))) {
                        CallerErrorWriter.send(
                                exchange,
                                CallerError.notRun(CallerError.Kind.OVERLOADED, "the entry has too much work"));
                    }
                });
            } catch (MalformedMessageException e) {
                CallerErrorWriter.send(
                        exchange,
                        CallerError.notRun(
                                CallerError.Kind.INVALID_REQUEST, "the body is not a question: " + e.getMessage()));
            }
        });
    }

    private void explain(HttpServerExchange exchange, ExplainQuery query) {
        final CompletableFuture<Optional<SessionBinding>> binding = query.session() == null
                ? CompletableFuture.completedFuture(Optional.empty())
                : sessionBinder.find(query.organisation(), query.session());
        binding.whenComplete((found, error) -> loop.execute(() -> runAndReportErrors(
                exchange,
                () -> Exchanges.respond(
                        exchange, 200, explainer.explain(query, error == null ? found : Optional.empty())))));
    }

    private static void runAndReportErrors(HttpServerExchange exchange, Runnable action) {
        try {
            action.run();
        } catch (CallerErrorException e) {
            CallerErrorWriter.send(exchange, e.error());
        } catch (RuntimeException e) {
            LOGGER.error("internal error while explaining a request", e);
            CallerErrorWriter.send(
                    exchange,
                    CallerError.failed(
                            CallerError.Kind.UPSTREAM_FAILED, "the entry failed internally", RunState.NOT_RUN));
        }
    }
}
