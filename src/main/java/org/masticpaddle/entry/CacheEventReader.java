package org.masticpaddle.entry;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.masticpaddle.platform.HttpEngineControl.CacheEvents;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;

/**
 * Reads the cache events of one sidecar per interval, in turn, so that the traffic does not grow with the number of
 * sidecars. All methods run on the entry's duty.
 */
final class CacheEventReader {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EntryContext context;
    private final HttpClient client;
    private final Upstreams upstreams;
    private long nextReadMillis;
    private int round;

    CacheEventReader(EntryContext context, HttpClient client, Upstreams upstreams) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    }

    /** Reads the events of the next sidecar if the interval has passed. */
    void tick() {
        if (context.nowMillis() < nextReadMillis) {
            return;
        }
        nextReadMillis = context.nowMillis() + INTERVAL_MILLIS;
        final List<String> engines = upstreams.engineIds();
        if (engines.isEmpty()) {
            return;
        }
        final String id = engines.get(Math.floorMod(round++, engines.size()));
        final Optional<URI> address = upstreams.address(id);
        if (address.isPresent()) {
            final String path =
                    "/internal/cache-events?after=" + upstreams.prefixes().lastSequence(id);
            client.send(HttpRequest.get(address.get(), path, TIMEOUT)).thenAccept(response -> onResponse(id, response));
        }
    }

    private void onResponse(String id, HttpResponse response) {
        if (response.successful()) {
            final CacheEvents events = Json.decode(response.body(), CacheEvents.class);
            context.loop().offer(() -> upstreams.prefixes().onEvents(id, events.events(), context.nowMillis()));
        }
    }
}
