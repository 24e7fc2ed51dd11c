package org.masticpaddle.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Hashing;

/**
 * Test double of a plain service with side effects.
 *
 * <p>{@code POST /bookings} makes one more booking on each request, even if the idempotency key was used before; {@code
 * GET /availability} only reads. Thread-safe.
 */
public final class PlainServiceStandIn extends HttpStandIn {
    private final long serviceNanos;
    private final List<Booking> bookings = new ArrayList<>();
    private final StandInServer server = new StandInServer("plain", faults(), exchange -> journal(), this::handle);
    private long lookupCount;

    /**
     * Creates a service that is not yet listening.
     *
     * @param serviceTime time from the receipt of a request until it takes effect
     */
    public PlainServiceStandIn(Duration serviceTime) {
        this.serviceNanos = serviceTime.toNanos();
    }

    /**
     * Lists the bookings.
     *
     * @return the bookings in the order in which they took effect
     */
    public synchronized List<Booking> journal() {
        return List.copyOf(bookings);
    }

    /**
     * Counts the bookings made with an idempotency key.
     *
     * @param key value of the header {@code Idempotency-Key}
     * @return number of bookings
     */
    public synchronized int bookingCount(String key) {
        return (int)
                bookings.stream().filter(booking -> booking.key().equals(key)).count();
    }

    /**
     * Counts the availability queries.
     *
     * @return number of requests of {@code GET /availability} that ran
     */
    public synchronized long lookupCount() {
        return lookupCount;
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (faults().trigger(Fault.REFUSE)) {
            server.respond(exchange, 503, StandInServer.errorBody("refused", "the service takes no work"));
        } else if (!faults().trigger(Fault.HANG)) {
            server.schedule(() -> handleDelayed(exchange, body), serviceNanos);
        }
    }

    private void handleDelayed(HttpServerExchange exchange, byte[] body) {
        final String route = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        switch (route) {
            case "POST /bookings" -> server.respond(exchange, 201, book(exchange, body));
            case "GET /availability" -> server.respond(exchange, 200, lookUp(exchange));
            default -> StandInServer.respondNotFound(exchange);
        }
    }

    private synchronized Booking book(HttpServerExchange exchange, byte[] body) {
        final String key = Exchanges.header(exchange, "Idempotency-Key").orElse("");
        final Booking booking = new Booking(bookings.size() + 1, key, Hashing.sha256(body), System.currentTimeMillis());
        bookings.add(booking);
        return booking;
    }

    private synchronized Map<String, Object> lookUp(HttpServerExchange exchange) {
        lookupCount++;
        final String day = Exchanges.query(exchange, "day").orElse("today");
        return Map.of("day", day, "free", Math.floorMod(Hashing.hash64(day), 10));
    }

    /**
     * Booking made by one request. Immutable.
     *
     * @param number number of the booking, counted from 1
     * @param key value of the header {@code Idempotency-Key}, empty if there was none
     * @param bodyHash SHA-256 of the request body
     * @param timeMillis time at which it took effect, in milliseconds since 1970
     */
    public record Booking(int number, String key, String bodyHash, long timeMillis) {}

    @Override
    StandInServer server() {
        return server;
    }
}
