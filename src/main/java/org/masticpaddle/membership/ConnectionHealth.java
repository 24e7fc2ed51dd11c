package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects connections that went silent while new ones to the same upstream work.
 *
 * <p>A connection that had work and no byte for 3 probe intervals is suspected, and its upstream is to be probed on a
 * new connection. Only if that probe works is the old connection given up. Times are in milliseconds of the process's
 * clock. Not thread-safe.
 */
public final class ConnectionHealth {
    private static final int SILENT_INTERVALS = 3;

    private final long probeIntervalMillis;
    private final Map<Long, State> connections = new HashMap<>();
    private final Map<String, Long> probes = new HashMap<>();

    /**
     * Creates an empty set of connections.
     *
     * @param probeIntervalMillis milliseconds between two probes
     */
    public ConnectionHealth(long probeIntervalMillis) {
        this.probeIntervalMillis = probeIntervalMillis;
    }

    /**
     * Notes that work began on a connection; a connection that is not known is new.
     *
     * @param connection identifier of the connection
     * @param upstream identifier of the upstream
     * @param nowMillis time
     */
    public void began(long connection, String upstream, long nowMillis) {
        final State state = connections.computeIfAbsent(connection, key -> new State(upstream));
        if (state.work == 0) {
            state.aliveMillis = nowMillis;
        }
        state.work++;
    }

    /**
     * Notes that work on a connection ended.
     *
     * @param connection identifier of the connection
     */
    public void ended(long connection) {
        final State state = connections.get(connection);
        if (state != null && state.work > 0) {
            state.work--;
        }
    }

    /**
     * Notes that bytes arrived.
     *
     * @param connection identifier of the connection
     * @param nowMillis time
     */
    public void heard(long connection, long nowMillis) {
        final State state = connections.get(connection);
        if (state != null) {
            state.aliveMillis = nowMillis;
        }
    }

    /**
     * Notes that a connection was closed.
     *
     * @param connection identifier of the connection
     */
    public void closed(long connection) {
        connections.remove(connection);
    }

    /**
     * Finds the upstreams to probe on a new connection now. One that is being probed is not named again until the probe
     * ends, or 3 intervals have passed without its end.
     *
     * @param nowMillis time
     * @return identifiers of upstreams
     */
    public Set<String> suspects(long nowMillis) {
        final Set<String> result = new HashSet<>();
        for (final State state : connections.values()) {
            if (silent(state, nowMillis) && !probing(state.upstream, nowMillis)) {
                result.add(state.upstream);
            }
        }
        result.forEach(upstream -> probes.put(upstream, nowMillis));
        return result;
    }

    /**
     * Notes that a probe on a new connection worked.
     *
     * @param upstream identifier of the upstream
     * @param nowMillis time
     * @return connections to close, whose attempts are to be settled; they are forgotten here
     */
    public List<Long> probeWorked(String upstream, long nowMillis) {
        probes.remove(upstream);
        final List<Long> result = new ArrayList<>();
        for (final Iterator<Map.Entry<Long, State>> iterator =
                        connections.entrySet().iterator();
                iterator.hasNext(); ) {
            final Map.Entry<Long, State> entry = iterator.next();
            if (entry.getValue().upstream.equals(upstream) && silent(entry.getValue(), nowMillis)) {
                result.add(entry.getKey());
                iterator.remove();
            }
        }
        return result;
    }

    /**
     * Notes that a probe on a new connection failed; the connections are kept, and the upstream is probed again.
     *
     * @param upstream identifier of the upstream
     * @param nowMillis time
     */
    public void probeFailed(String upstream, long nowMillis) {
        // Counts as a probe that ends one interval from now, so that a dead upstream is probed once an interval.
        probes.put(upstream, nowMillis - (SILENT_INTERVALS - 1) * probeIntervalMillis);
    }

    private boolean probing(String upstream, long nowMillis) {
        final Long since = probes.get(upstream);
        return since != null && nowMillis - since < SILENT_INTERVALS * probeIntervalMillis;
    }

    private boolean silent(State state, long nowMillis) {
        return state.work > 0 && nowMillis - state.aliveMillis >= SILENT_INTERVALS * probeIntervalMillis;
    }

    private static final class State {
        private final String upstream;
        private int work;
        private long aliveMillis;

        State(String upstream) {
            this.upstream = upstream;
        }
    }
}
