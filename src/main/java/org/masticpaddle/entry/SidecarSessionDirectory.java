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
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.Json;

/**
 * Session bindings at the two home sidecars of each session. The merge rule of {@link SessionBinding} decides when the
 * homes differ, so a home that was restarted is repaired by the next request. Thread-safe.
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
        final Map<Instance, CompletableFuture<Optional<SessionBinding>>> answers = new LinkedHashMap<>();
        for (final Instance home : homes(organisation, session)) {
            answers.put(home, answer(HttpRequest.get(home.address(), query, TIMEOUT)));
        }
        CompletableFuture<Optional<SessionBinding>> all = CompletableFuture.completedFuture(Optional.empty());
        for (final CompletableFuture<Optional<SessionBinding>> one : answers.values()) {
            all = all.thenCombine(one, SidecarSessionDirectory::merge);
        }
        return all.whenComplete((found, error) -> {
            if (error == null) {
                found.ifPresent(binding -> repair(binding, answers));
            }
        });
    }

    /** Gives the binding to a home that lacks it, so that the loss of the other home later loses nothing. */
    private void repair(SessionBinding binding, Map<Instance, CompletableFuture<Optional<SessionBinding>>> answers) {
        answers.forEach((home, answer) -> {
            if (answer.join().isEmpty()) {
                client.send(HttpRequest.post(home.address(), "/internal/session", binding, TIMEOUT));
            }
        });
    }

    @Override
    public CompletableFuture<SessionBinding> bind(SessionBinding wanted) {
        CompletableFuture<Optional<SessionBinding>> all = CompletableFuture.completedFuture(Optional.empty());
        for (final Instance home : homes(wanted.organisation(), wanted.session())) {
            final CompletableFuture<Optional<SessionBinding>> one =
                    answer(HttpRequest.post(home.address(), "/internal/session", wanted, TIMEOUT));
            all = all.thenCombine(one, SidecarSessionDirectory::merge);
        }
        return all.thenApply(found -> found.orElse(wanted));
    }

    private List<Instance> homes(String organisation, String session) {
        return SessionReplicas.of(organisation, session, sidecars.get());
    }

    private CompletableFuture<Optional<SessionBinding>> answer(HttpRequest call) {
        return client.send(call)
                .handle((answer, error) -> error == null && answer.successful()
                        ? Optional.of(Json.decode(answer.body(), SessionBinding.class))
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
