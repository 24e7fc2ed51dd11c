package org.masticpaddle.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.wire.Exchanges;
import org.masticpaddle.wire.Json;

/**
 * Test double of the platform's instance list.
 *
 * <p>Tests and other processes can also change the list: {@code POST /instances} with an {@link Instance} registers it,
 * {@code POST /instances/ID/leaving} marks it as draining and {@code DELETE /instances/ID} removes it. Changes become
 * visible to {@code GET /instances?after=N} after a lag. Thread-safe.
 */
public final class InstanceListStandIn extends HttpStandIn {
    private static final int MAX_RETAINED_CHANGES = 4096;
    private static final String INSTANCE_PATH_PREFIX = "/instances/";

    private final long lagNanos;
    private final Deque<Change> history = new ArrayDeque<>();
    private final Map<String, Instance> published = new LinkedHashMap<>();
    private final Map<String, Instance> current = new LinkedHashMap<>();
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, Long> omittedUntil = new HashMap<>();
    private final StandInServer server =
            new StandInServer("instances", faults(), exchange -> instances(), this::handle);
    private long lastVersion;
    private long publishedVersion;
    private long lastTrimmedVersion;

    /** Creates a list that publishes changes without a lag. */
    public InstanceListStandIn() {
        this(Duration.ZERO);
    }

    /**
     * Creates a list that publishes changes after a lag.
     *
     * @param lag time from a change until readers see it
     */
    public InstanceListStandIn(Duration lag) {
        this.lagNanos = lag.toNanos();
    }

    /**
     * Adds an instance, or replaces the one with the same identifier.
     *
     * @param instance instance to list
     */
    public synchronized void register(Instance instance) {
        current.put(instance.id(), instance);
        pending.add(new Change(++lastVersion, instance, System.nanoTime() + lagNanos));
    }

    /**
     * Marks an instance as draining.
     *
     * @param id identifier of the instance; an unknown one is ignored
     */
    public synchronized void markDraining(String id) {
        find(id).ifPresent(instance -> register(withState(instance, Instance.State.LEAVING)));
    }

    /**
     * Removes an instance.
     *
     * @param id identifier of the instance; an unknown one is ignored
     */
    public synchronized void remove(String id) {
        find(id).ifPresent(instance -> {
            register(withState(instance, Instance.State.GONE));
            current.remove(id);
        });
    }

    /**
     * Omits an instance from all responses for a limited time.
     *
     * @param id identifier of the instance
     * @param duration how long to omit it
     */
    public synchronized void omit(String id, Duration duration) {
        omittedUntil.put(id, System.nanoTime() + duration.toNanos());
    }

    /**
     * Lists the current instances, without lag or omissions.
     *
     * @return the instances that are live or draining, in order of registration
     */
    public synchronized List<Instance> instances() {
        return List.copyOf(current.values());
    }

    private Optional<Instance> find(String id) {
        return Optional.ofNullable(current.get(id));
    }

    private static Instance withState(Instance instance, Instance.State state) {
        return new Instance(
                instance.id(),
                instance.service(),
                instance.region(),
                instance.failureDomain(),
                instance.address(),
                state);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        final String path = exchange.getRequestPath();
        final String method = exchange.getRequestMethod().toString();
        if ("GET".equals(method) && "/instances".equals(path)) {
            server.respond(exchange, 200, changesAfter(Exchanges.queryLong(exchange, "after", 0)));
        } else if ("POST".equals(method) && "/instances".equals(path)) {
            register(Json.decode(body, Instance.class));
            server.respond(exchange, 200, Map.of());
        } else if ("POST".equals(method) && path.startsWith(INSTANCE_PATH_PREFIX) && path.endsWith("/leaving")) {
            markDraining(path.substring(INSTANCE_PATH_PREFIX.length(), path.length() - "/leaving".length()));
            server.respond(exchange, 200, Map.of());
        } else if ("DELETE".equals(method) && path.startsWith(INSTANCE_PATH_PREFIX)) {
            remove(path.substring(INSTANCE_PATH_PREFIX.length()));
            server.respond(exchange, 200, Map.of());
        } else {
            StandInServer.respondNotFound(exchange);
        }
    }

    private synchronized InstanceChanges changesAfter(long after) {
        final long now = System.nanoTime();
        endOmissions(now);
        publishDueChanges(now);
        if (after <= 0 || after < lastTrimmedVersion || after > publishedVersion) {
            return new InstanceChanges(publishedVersion, true, withoutOmitted(published));
        }
        final Map<String, Instance> changed = new LinkedHashMap<>();
        history.stream()
                .filter(change -> change.version > after)
                .forEach(change -> changed.put(change.instance.id(), change.instance));
        return new InstanceChanges(publishedVersion, false, withoutOmitted(changed));
    }

    /** Registers an instance again when its omission ends, since readers of changes may have missed an update of it. */
    private void endOmissions(long now) {
        omittedUntil.entrySet().removeIf(entry -> {
            final boolean ended = now - entry.getValue() >= 0;
            if (ended) {
                find(entry.getKey()).ifPresent(this::register);
            }
            return ended;
        });
    }

    private void publishDueChanges(long now) {
        while (!pending.isEmpty() && now - pending.peekFirst().visibleAtNanos >= 0) {
            final Change change = pending.removeFirst();
            publishedVersion = change.version;
            if (change.instance.state() == Instance.State.GONE) {
                published.remove(change.instance.id());
            } else {
                published.put(change.instance.id(), change.instance);
            }
            history.add(change);
            if (history.size() > MAX_RETAINED_CHANGES) {
                lastTrimmedVersion = history.removeFirst().version;
            }
        }
    }

    private List<Instance> withoutOmitted(Map<String, Instance> instances) {
        final List<Instance> result = new ArrayList<>(instances.values());
        result.removeIf(instance -> omittedUntil.containsKey(instance.id()));
        return result;
    }

    private record Change(long version, Instance instance, long visibleAtNanos) {}

    @Override
    StandInServer server() {
        return server;
    }
}
