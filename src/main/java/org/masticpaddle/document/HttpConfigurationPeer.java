package org.masticpaddle.document;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * HTTP client of {@link ConfigurationPeer}: {@code GET /internal/configuration?after=OFFSET} returns status 200 with a
 * {@link ConfigurationResponse}, or 503 if the entry has no document in effect. Thread-safe.
 */
public final class HttpConfigurationPeer implements ConfigurationPeer {
    private static final int NO_DOCUMENT_STATUS = 503;

    private final HttpClient client;
    private final Duration timeout;

    /**
     * Creates the client.
     *
     * @param client HTTP client
     * @param timeout time without a received byte after which a request fails
     */
    public HttpConfigurationPeer(HttpClient client, Duration timeout) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public CompletableFuture<Optional<ConfigurationResponse>> fetch(URI entry, long after) {
        return client.send(HttpRequest.get(entry, PATH + "?after=" + after, timeout))
                .handle((response, error) -> {
                    if (error != null) {
                        throw new PeerException("no configuration from " + entry + ": " + error.getMessage(), error);
                    }
                    return decode(entry, response);
                });
    }

    private static Optional<ConfigurationResponse> decode(URI entry, HttpResponse response) {
        if (response.status() == NO_DOCUMENT_STATUS) {
            return Optional.empty();
        }
        if (!response.successful()) {
            throw new PeerException("no configuration from " + entry + ": status " + response.status(), null);
        }
        try {
            return Optional.of(Json.decode(response.body(), ConfigurationResponse.class));
        } catch (MalformedMessageException e) {
            throw new PeerException("configuration from " + entry + " cannot be decoded", e);
        }
    }
}
