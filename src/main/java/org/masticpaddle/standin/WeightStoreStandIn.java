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
 * Test double of the rate-limited weight store, which assigns load slots at a fixed interval. A requester that repeats
 * its request for a version gets the slot that it already has, until that slot has passed. Thread-safe.
 */
public final class WeightStoreStandIn extends HttpStandIn {
    private final long slotIntervalNanos;
    private final List<Entry> journal = new ArrayList<>();
    private final Map<HttpWeightStore.ReservationRequest, Long> slotTimes = new HashMap<>();
    private final StandInServer server = new StandInServer("weights", faults(), exchange -> journal(), this::handle);
    private long nextFreeSlotNanos = System.nanoTime();

    /**
     * Creates a weight store that is not yet listening.
     *
     * @param interval time between two slots
     */
    public WeightStoreStandIn(Duration interval) {
        this.slotIntervalNanos = interval.toNanos();
    }

    /**
     * Lists the answered reservations, repeated ones included.
     *
     * @return the entries in order of arrival
     */
    public synchronized List<Entry> journal() {
        return List.copyOf(journal);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        if (!"/reservations".equals(exchange.getRequestPath())) {
            StandInServer.respondNotFound(exchange);
            return;
        }
        final HttpWeightStore.ReservationRequest reservation =
                Json.decode(body, HttpWeightStore.ReservationRequest.class);
        if (reservation.version() == null || reservation.requester() == null) {
            throw new IllegalArgumentException("a reservation needs version and requester");
        }
        server.respond(exchange, 200, new HttpWeightStore.ReservationResponse(reserve(reservation)));
    }

    private synchronized long reserve(HttpWeightStore.ReservationRequest reservation) {
        final long now = System.nanoTime();
        slotTimes.values().removeIf(slot -> slot - now < 0);
        final Long assigned = slotTimes.get(reservation);
        final long slot = assigned != null ? assigned : Math.max(now, nextFreeSlotNanos);
        if (assigned == null) {
            nextFreeSlotNanos = slot + slotIntervalNanos;
            slotTimes.put(reservation, slot);
        }
        final long waitMillis = TimeUnit.NANOSECONDS.toMillis(slot - now + 999_999);
        journal.add(new Entry(reservation.version(), reservation.requester(), waitMillis));
        return waitMillis;
    }

    /**
     * Reservation of a load slot. Immutable.
     *
     * @param version version to load, as {@code model/version}
     * @param requester instance that loads the version
     * @param waitMillis milliseconds until the slot, rounded up
     */
    public record Entry(String version, String requester, long waitMillis) {}

    @Override
    StandInServer server() {
        return server;
    }
}
