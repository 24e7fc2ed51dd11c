package org.masticpaddle.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.HttpWeightStore;
import org.masticpaddle.wire.Json;

/**
 * Stand-in for the rate-limited weight store: places in its queue are a fixed interval apart. A repeated request of the
 * same requester for the same version gets the place it has, until that place has passed. Thread-safe.
 */
public final class WeightStoreStandIn extends HttpStandIn {
    private final long intervalNanos;
    private final List<Entry> journal = new ArrayList<>();
    private final Map<HttpWeightStore.ReservationRequest, Long> places = new HashMap<>();
    private final StandInServer server = new StandInServer("weights", faults(), exchange -> journal(), this::handle);
    private long freeNanos = System.nanoTime();

    /**
     * Creates a weight store.
     *
     * @param interval time between the starts of two loads
     */
    public WeightStoreStandIn(Duration interval) {
        this.intervalNanos = interval.toNanos();
    }

    /**
     * Lists the places given.
     *
     * @return the entries in the order of arrival
     */
    public synchronized List<Entry> journal() {
        return List.copyOf(journal);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (!"/reservations".equals(exchange.getRequestPath())) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final HttpWeightStore.ReservationRequest wanted = Json.decode(body, HttpWeightStore.ReservationRequest.class);
        if (wanted.version() == null || wanted.requester() == null) {
            throw new IllegalArgumentException("a reservation needs version and requester");
        }
        server.respond(exchange, 200, new HttpWeightStore.ReservationResponse(reserve(wanted)));
    }

    private synchronized long reserve(HttpWeightStore.ReservationRequest wanted) {
        final long now = System.nanoTime();
        places.values().removeIf(place -> place - now < 0);
        final Long held = places.get(wanted);
        final long place = held != null ? held : Math.max(now, freeNanos);
        if (held == null) {
            freeNanos = place + intervalNanos;
            places.put(wanted, place);
        }
        final long wait = TimeUnit.NANOSECONDS.toMillis(place - now + 999_999);
        journal.add(new Entry(wanted.version(), wanted.requester(), wait));
        return wait;
    }

    /**
     * One place given. Immutable.
     *
     * @param version version to load
     * @param requester instance that loads it
     * @param waitMillis milliseconds it was told to wait
     */
    public record Entry(String version, String requester, long waitMillis) {}

    @Override
    StandInServer server() {
        return server;
    }
}
