package org.masticpaddle.entry;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.SessionReplicas;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.Json;

/**
 * Keeps session bindings at the two replica sidecars of each session. Bindings that differ are merged by the rule of
 * {@link SessionBinding}; a replica that lost its bindings in a restart is repaired by the next request. Thread-safe.
 */
final class SidecarSessionDirectory implements SessionDirectory {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final HttpClient client;
    private final Supplier<Collection<Instance>> sidecars;

    SidecarSessionDirectory(HttpClient client, Supplier<Collection<Instance>> sidecars) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.sidecars = Objects.requireNonNull(sidecars, "sidecars is null");
    }

    @Override
    public CompletableFuture<Optional<SessionBinding>> find(String organisation, String session) {
        final String query = "/internal/session?organisation=" + encode(organisation) + "&session=" + encode(session);
        final Map<Instance, CompletableFuture<Optional<SessionBinding>>> responses = new LinkedHashMap<>();
        for (final Instance replica : replicas(organisation, session)) {
            responses.put(replica, sendAndDecode(HttpRequest.get(replica.address(), query, TIMEOUT)));
        }
        CompletableFuture<Optional<SessionBinding>> merged = CompletableFuture.completedFuture(Optional.empty());
        for (final CompletableFuture<Optional<SessionBinding>> response : responses.values()) {
            merged = merged.thenCombine(response, SidecarSessionDirectory::merge);
        }
        return merged.whenComplete((found, error) -> {
            if (error == null) {
                found.ifPresent(binding -> repair(binding, responses));
            }
        });
    }

    /** Sends the binding to the replicas that lack it, so that it survives the loss of another replica. */
    private void repair(SessionBinding binding, Map<Instance, CompletableFuture<Optional<SessionBinding>>> responses) {
        responses.forEach((replica, response) -> {
            if (response.join().isEmpty()) {
                client.send(HttpRequest.post(replica.address(), "/internal/session", binding, TIMEOUT));
            }
        });
    }

    @Override
    public CompletableFuture<SessionBinding> bind(SessionBinding proposed) {
        CompletableFuture<Optional<SessionBinding>> merged = CompletableFuture.completedFuture(Optional.empty());
        for (final Instance replica : replicas(proposed.organisation(), proposed.session())) {
            final CompletableFuture<Optional<SessionBinding>> response =
                    sendAndDecode(HttpRequest.post(replica.address(), "/internal/session", proposed, TIMEOUT));
            merged = merged.thenCombine(response, SidecarSessionDirectory::merge);
        }
        return merged.thenApply(found -> found.orElse(proposed));
    }

    private List<Instance> replicas(String organisation, String session) {
        return SessionReplicas.of(organisation, session, sidecars.get());
    }

    private CompletableFuture<Optional<SessionBinding>> sendAndDecode(HttpRequest request) {
        return client.send(request)
                .handle((response, error) -> error == null && response.successful()
                        ? Optional.of(Json.decode(response.body(), SessionBinding.class))
                        : Optional.<SessionBinding>empty());
    }

    private static Optional<SessionBinding> merge(Optional<SessionBinding> left, Optional<SessionBinding> right) {
        if (left.isEmpty() || right.isEmpty()) {
            return left.or(() -> right);
        }
        return Optional.of(left.get().merge(right.get()));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
