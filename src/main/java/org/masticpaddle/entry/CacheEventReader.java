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
 * Reads the cache events of one sidecar after the other, so that the bytes a second do not grow with their number. All
 * methods run on the entry's duty.
 */
final class CacheEventReader {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EntryContext context;
    private final HttpClient client;
    private final Upstreams upstreams;
    private long nextMillis;
    private int round;

    CacheEventReader(EntryContext context, HttpClient client, Upstreams upstreams) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    }

    /** Asks the next sidecar if it is time. */
    void tick() {
        if (context.millis() < nextMillis) {
            return;
        }
        nextMillis = context.millis() + INTERVAL_MILLIS;
        final List<String> engines = upstreams.engines();
        if (engines.isEmpty()) {
            return;
        }
        final String id = engines.get(Math.floorMod(round++, engines.size()));
        final Optional<URI> address = upstreams.address(id);
        if (address.isPresent()) {
            final String path =
                    "/internal/cache-events?after=" + upstreams.prefixes().lastSequence(id);
            client.send(HttpRequest.get(address.get(), path, TIMEOUT)).thenAccept(answer -> answered(id, answer));
        }
    }

    private void answered(String id, HttpResponse answer) {
        if (answer.successful()) {
            final CacheEvents events = Json.decode(answer.body(), CacheEvents.class);
            context.loop().offer(() -> upstreams.prefixes().onEvents(id, events.events(), context.millis()));
        }
    }
}
