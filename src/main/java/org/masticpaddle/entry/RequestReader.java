package org.masticpaddle.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.PlainService;
import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Hashing;
import org.masticpaddle.wire.Rank;

/**
 * Validates HTTP requests of callers and converts them to {@link CallerRequest}s. Thread-safe, without mutable state.
 */
final class RequestReader {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final String DEFAULT_KIND = "chat";
    private static final int MAX_HEADER_VALUE_LENGTH = 256;
    // Excludes NaN, infinities and exponents, which Double.valueOf would accept.
    private static final Pattern NUMBER = Pattern.compile("[+-]?\\d{1,15}(\\.\\d{1,15})?");

    private final LongSupplier nanoClock;
    private final Supplier<String> requestIds;

    RequestReader(LongSupplier nanoClock, Supplier<String> requestIds) {
        this.nanoClock = nanoClock;
        this.requestIds = requestIds;
    }

    /**
     * Returns the organisation of the bearer key.
     *
     * @throws CallerErrorException if the key is missing or unknown
     */
    Organisation authenticate(HttpServerExchange exchange, RoutingDocument document) {
        final String header = Exchanges.header(exchange, "Authorization").orElse("");
        if (!header.startsWith(BEARER_PREFIX)) {
            throw error(CallerError.Kind.UNAUTHORIZED, "the header Authorization: Bearer KEY is missing");
        }
        final byte[] key = header.substring(BEARER_PREFIX.length()).trim().getBytes(StandardCharsets.UTF_8);
        return document.organisationOf("sha256:" + Hashing.sha256(key))
                .orElseThrow(() -> error(CallerError.Kind.UNAUTHORIZED, "the key belongs to no organisation"));
    }

    /**
     * Reads a chat completion request.
     *
     * @throws CallerErrorException if the key, the body or a header is not valid
     */
    CallerRequest readChat(HttpServerExchange exchange, byte[] body, RoutingDocument document) {
        final Organisation organisation = authenticate(exchange, document);
        final ObjectNode json = ChatFields.read(body);
        final CallerRequest.Chat chat = new CallerRequest.Chat(
                ChatFields.model(json),
                json,
                ChatFields.promptTokens(json),
                ChatFields.maxTokens(json),
                ChatFields.stream(json),
                !header(exchange, "Masticpaddle-Idempotent")
                        .map("false"::equalsIgnoreCase)
                        .orElse(false));
        return buildRequest(exchange, organisation, document, DEFAULT_KIND, chat);
    }

    /**
     * Reads a request to a plain service, whose name and path follow the prefix in the path of the request.
     *
     * @throws CallerErrorException if the key or a header is not valid, or the organisation may not use the service
     */
    CallerRequest readPlain(HttpServerExchange exchange, byte[] body, RoutingDocument document, String prefix) {
        final Organisation organisation = authenticate(exchange, document);
        final String rest = exchange.getRequestPath().substring(prefix.length());
        final int slash = rest.indexOf('/');
        final String name = slash < 0 ? rest : rest.substring(0, slash);
        final PlainService service = document.services().get(name);
        if (service == null || !organisation.services().contains(name)) {
            throw error(CallerError.Kind.NOT_FOUND, "there is no service \"" + name + "\" for this organisation");
        }
        final String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        final String path = (slash < 0 ? "/" : rest.substring(slash)) + query;
        return buildRequest(
                exchange,
                organisation,
                document,
                name,
                new CallerRequest.Plain(
                        service,
                        exchange.getRequestMethod().toString(),
                        path,
                        header(exchange, "Content-Type").orElse(""),
                        body));
    }

    private CallerRequest buildRequest(
            HttpServerExchange exchange,
            Organisation organisation,
            RoutingDocument document,
            String defaultKind,
            CallerRequest.Target target) {
        final Rank rank = rank(exchange);
        final RankPolicy policy = document.policy(rank);
        final long now = nanoClock.getAsLong();
        return new CallerRequest(
                requestIds.get(),
                organisation,
                rank,
                header(exchange, "Masticpaddle-Kind").orElse(defaultKind),
                now,
                now + deadlineMillis(exchange, policy) * 1_000_000,
                quality(exchange),
                header(exchange, "Masticpaddle-Session"),
                header(exchange, "Idempotency-Key"),
                header(exchange, "Idempotency-Key-Created"),
                target);
    }

    private static Rank rank(HttpServerExchange exchange) {
        return header(exchange, "Masticpaddle-Rank")
                .map(text -> Rank.of(text)
                        .orElseThrow(() -> error(
                                CallerError.Kind.INVALID_REQUEST,
                                "Masticpaddle-Rank is not urgent, standard or background")))
                .orElse(Rank.STANDARD);
    }

    private static long deadlineMillis(HttpServerExchange exchange, RankPolicy policy) {
        return header(exchange, "Masticpaddle-Deadline-Ms")
                .map(text -> {
                    final long millis =
                            parseNumber(text, "Masticpaddle-Deadline-Ms").longValue();
                    if (millis <= 0) {
                        throw error(CallerError.Kind.DEADLINE_EXCEEDED, "the deadline has passed");
                    }
                    return Math.min(millis, policy.timeoutMillis());
                })
                .orElse(policy.timeoutMillis());
    }

    private static OptionalDouble quality(HttpServerExchange exchange) {
        final Optional<Double> quality =
                header(exchange, "Masticpaddle-Quality").map(text -> parseNumber(text, "Masticpaddle-Quality"));
        if (quality.isEmpty()) {
            return OptionalDouble.empty();
        }
        if (!(quality.get() >= 0 && quality.get() <= 1)) {
            throw error(CallerError.Kind.INVALID_REQUEST, "Masticpaddle-Quality is not between 0 and 1");
        }
        return OptionalDouble.of(quality.get());
    }

    private static Double parseNumber(String text, String name) {
        if (!NUMBER.matcher(text).matches()) {
            throw error(CallerError.Kind.INVALID_REQUEST, name + " is not a number");
        }
        return Double.valueOf(text);
    }

    private static Optional<String> header(HttpServerExchange exchange, String name) {
        final Optional<String> value = Exchanges.header(exchange, name);
        if (value.isPresent()
                && value.get().length() > MAX_HEADER_VALUE_LENGTH
                && !"Masticpaddle-Session".equals(name)) {
            throw error(
                    CallerError.Kind.INVALID_REQUEST,
                    name + " is longer than " + MAX_HEADER_VALUE_LENGTH + " characters");
        }
        return value;
    }

    private static CallerErrorException error(CallerError.Kind kind, String message) {
        return new CallerErrorException(CallerError.notRun(kind, message));
    }
}
