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
 * Stand-in for the platform's list of instances.
 *
 * <p>Besides {@code GET /instances?after=N} it takes {@code POST /instances} with an {@link Instance}, {@code POST
 * /instances/ID/leaving} and {@code DELETE /instances/ID}. Thread-safe.
 */
public final class InstanceListStandIn extends HttpStandIn {
    private static final int MAX_HISTORY = 4096;
    private static final String PREFIX = "/instances/";

    private final long lagNanos;
    private final Deque<Change> history = new ArrayDeque<>();
    private final Map<String, Instance> visible = new LinkedHashMap<>();
    private final Map<String, Instance> latest = new LinkedHashMap<>();
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, Long> omittedUntil = new HashMap<>();
    private final StandInServer server = new StandInServer("instances", faults(), x -> instances(), this::handle);
    private long version;
    private long visibleVersion;
    private long forgottenVersion;

    /** Creates a list that shows changes at once. */
    public InstanceListStandIn() {
        this(Duration.ZERO);
    }

    /**
     * Creates a list that lags.
     *
     * @param lag time from a change until readers see it
     */
    public InstanceListStandIn(Duration lag) {
        this.lagNanos = lag.toNanos();
    }

    /**
     * Adds an instance or replaces the one of the same identifier.
     *
     * @param instance the instance
     */
    public synchronized void register(Instance instance) {
        latest.put(instance.id(), instance);
        pending.add(new Change(++version, instance, System.nanoTime() + lagNanos));
    }

    /**
     * Marks an instance as leaving.
     *
     * @param id identifier; an unknown one is ignored
     */
    public synchronized void markDraining(String id) {
        find(id).ifPresent(instance -> register(with(instance, Instance.State.LEAVING)));
    }

    /**
     * Removes an instance.
     *
     * @param id identifier; an unknown one is ignored
     */
    public synchronized void remove(String id) {
        find(id).ifPresent(instance -> {
            register(with(instance, Instance.State.GONE));
            latest.remove(id);
        });
    }

    /**
     * Leaves an instance out of all answers for a while.
     *
     * @param id identifier
     * @param time how long
     */
    public synchronized void omit(String id, Duration time) {
        omittedUntil.put(id, System.nanoTime() + time.toNanos());
    }

    /**
     * Lists the instances without lag or gaps.
     *
     * @return the instances that are live or leaving
     */
    public synchronized List<Instance> instances() {
        return List.copyOf(latest.values());
    }

    private Optional<Instance> find(String id) {
        return Optional.ofNullable(latest.get(id));
    }

    private static Instance with(Instance instance, Instance.State state) {
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
            server.respond(exchange, 200, changes(Exchanges.queryLong(exchange, "after", 0)));
        } else if ("POST".equals(method) && "/instances".equals(path)) {
            register(Json.decode(body, Instance.class));
            server.respond(exchange, 200, Map.of());
        } else if ("POST".equals(method) && path.startsWith(PREFIX) && path.endsWith("/leaving")) {
            markDraining(path.substring(PREFIX.length(), path.length() - "/leaving".length()));
            server.respond(exchange, 200, Map.of());
        } else if ("DELETE".equals(method) && path.startsWith(PREFIX)) {
            remove(path.substring(PREFIX.length()));
            server.respond(exchange, 200, Map.of());
        } else {
            StandInServer.respondNotFound(exchange);
        }
    }

    private synchronized InstanceChanges changes(long after) {
        final long now = System.nanoTime();
        endOmissions(now);
        publish(now);
        if (after <= 0 || after < forgottenVersion || after > visibleVersion) {
            return new InstanceChanges(visibleVersion, true, shown(visible));
        }
        final Map<String, Instance> changed = new LinkedHashMap<>();
        history.stream()
                .filter(change -> change.version > after)
                .forEach(change -> changed.put(change.instance.id(), change.instance));
        return new InstanceChanges(visibleVersion, false, shown(changed));
    }

    /** Announces an instance again when its omission ends, since readers of changes may have missed it. */
    private void endOmissions(long now) {
        omittedUntil.entrySet().removeIf(entry -> {
            final boolean ended = now - entry.getValue() >= 0;
            if (ended) {
                find(entry.getKey()).ifPresent(this::register);
            }
            return ended;
        });
    }

    private void publish(long now) {
        while (!pending.isEmpty() && now - pending.peekFirst().visibleAt >= 0) {
            final Change change = pending.removeFirst();
            visibleVersion = change.version;
            if (change.instance.state() == Instance.State.GONE) {
                visible.remove(change.instance.id());
            } else {
                visible.put(change.instance.id(), change.instance);
            }
            history.add(change);
            if (history.size() > MAX_HISTORY) {
                forgottenVersion = history.removeFirst().version;
            }
        }
    }

    private List<Instance> shown(Map<String, Instance> instances) {
        final List<Instance> result = new ArrayList<>(instances.values());
        result.removeIf(instance -> omittedUntil.containsKey(instance.id()));
        return result;
    }

    private record Change(long version, Instance instance, long visibleAt) {}

    @Override
    StandInServer server() {
        return server;
    }
}
