package org.masticpaddle.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Hashing;

/**
 * Stand-in for a plain service: {@code POST /bookings} books each time it is called, whatever the key, and {@code GET
 * /availability} only reads. Thread-safe.
 */
public final class PlainServiceStandIn extends HttpStandIn {
    private final long serviceNanos;
    private final List<Booking> bookings = new ArrayList<>();
    private final StandInServer server = new StandInServer("plain", faults(), exchange -> journal(), this::handle);
    private long lookupCount;

    /**
     * Creates a service.
     *
     * @param serviceTime time that a request takes
     */
    public PlainServiceStandIn(Duration serviceTime) {
        this.serviceNanos = serviceTime.toNanos();
    }

    /**
     * Lists the bookings made.
     *
     * @return the bookings in the order in which they took effect
     */
    public synchronized List<Booking> journal() {
        return List.copyOf(bookings);
    }

    /**
     * Counts the bookings made with a key.
     *
     * @param key value of {@code Idempotency-Key}
     * @return number of bookings
     */
    public synchronized int bookingCount(String key) {
        return (int)
                bookings.stream().filter(booking -> booking.key().equals(key)).count();
    }

    /**
     * Counts the look-ups answered.
     *
     * @return number of calls of {@code GET /availability}
     */
    public synchronized long lookupCount() {
        return lookupCount;
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (faults().occurs(Fault.REFUSE)) {
            server.respond(exchange, 503, StandInServer.errorBody("refused", "the service takes no work"));
        } else if (!faults().occurs(Fault.HANG)) {
            server.schedule(() -> run(exchange, body), serviceNanos);
        }
    }

    private void run(HttpServerExchange exchange, byte[] body) {
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
     * One booking. Immutable.
     *
     * @param number number of the booking, from 1 on
     * @param key value of {@code Idempotency-Key}, empty if there was none
     * @param bodyHash SHA-256 of the body
     * @param timeMillis time at which it took effect, in milliseconds since 1970
     */
    public record Booking(int number, String key, String bodyHash, long timeMillis) {}

    @Override
    StandInServer server() {
        return server;
    }
}
