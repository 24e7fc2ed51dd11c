package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects stalled connections to upstreams that still accept new connections.
 *
 * <p>A connection is stalled if it has requests in flight and received no byte for 3 probe intervals. Its upstream is
 * then probed on a new connection, and the stalled connection is closed only if that probe succeeds. All times are in
 * milliseconds of the process's clock. Not thread-safe.
 */
public final class ConnectionHealth {
    private static final int STALL_INTERVALS = 3;

    private final long probeIntervalMillis;
    private final Map<Long, State> connections = new HashMap<>();
    private final Map<String, Long> probeStartMillis = new HashMap<>();

    /**
     * Creates a detector that tracks no connections.
     *
     * @param probeIntervalMillis time between two probes of an upstream, in milliseconds
     */
    public ConnectionHealth(long probeIntervalMillis) {
        this.probeIntervalMillis = probeIntervalMillis;
    }

    /**
     * Records the start of a request on a connection. An unknown connection is tracked from now on.
     *
     * @param connection identifier of the connection
     * @param upstream identifier of the upstream
     * @param nowMillis current time
     */
    public void requestStarted(long connection, String upstream, long nowMillis) {
        final State state = connections.computeIfAbsent(connection, key -> new State(upstream));
        if (state.requestsInFlight == 0) {
            state.lastActivityMillis = nowMillis;
        }
        state.requestsInFlight++;
    }

    /**
     * Records the end of a request on a connection.
     *
     * @param connection identifier of the connection
     */
    public void requestEnded(long connection) {
        final State state = connections.get(connection);
        if (state != null && state.requestsInFlight > 0) {
            state.requestsInFlight--;
        }
    }

    /**
     * Records that bytes arrived on a connection.
     *
     * @param connection identifier of the connection
     * @param nowMillis current time
     */
    public void bytesReceived(long connection, long nowMillis) {
        final State state = connections.get(connection);
        if (state != null) {
            state.lastActivityMillis = nowMillis;
        }
    }

    /**
     * Stops tracking a connection that was closed.
     *
     * @param connection identifier of the connection
     */
    public void connectionClosed(long connection) {
        connections.remove(connection);
    }

    /**
     * Returns the upstreams with a stalled connection that must be probed on a new connection now, and counts their
     * probes as started. An upstream is not returned again until its probe ends or 3 probe intervals have passed.
     *
     * @param nowMillis current time
     * @return identifiers of the upstreams
     */
    public Set<String> upstreamsToProbe(long nowMillis) {
        final Set<String> result = new HashSet<>();
        for (final State state : connections.values()) {
            if (stalled(state, nowMillis) && !probing(state.upstream, nowMillis)) {
                result.add(state.upstream);
            }
        }
        result.forEach(upstream -> probeStartMillis.put(upstream, nowMillis));
        return result;
    }

    /**
     * Records that a probe on a new connection succeeded, and stops tracking the stalled connections of its upstream.
     *
     * @param upstream identifier of the upstream
     * @param nowMillis current time
     * @return identifiers of the stalled connections; the caller closes them and resolves the status of their attempts
     */
    public List<Long> probeSucceeded(String upstream, long nowMillis) {
        probeStartMillis.remove(upstream);
        final List<Long> result = new ArrayList<>();
        for (final Iterator<Map.Entry<Long, State>> iterator =
                        connections.entrySet().iterator();
                iterator.hasNext(); ) {
            final Map.Entry<Long, State> entry = iterator.next();
            if (entry.getValue().upstream.equals(upstream) && stalled(entry.getValue(), nowMillis)) {
                result.add(entry.getKey());
                iterator.remove();
            }
        }
        return result;
    }

    /**
     * Records that a probe on a new connection failed. Stalled connections are kept, and the upstream is probed again.
     *
     * @param upstream identifier of the upstream
     * @param nowMillis current time
     */
    public void probeFailed(String upstream, long nowMillis) {
        // Back-dates the start of the probe so that it expires in one interval: a failed upstream is probed once per
        // interval.
        probeStartMillis.put(upstream, nowMillis - (STALL_INTERVALS - 1) * probeIntervalMillis);
    }

    private boolean probing(String upstream, long nowMillis) {
        final Long started = probeStartMillis.get(upstream);
        return started != null && nowMillis - started < STALL_INTERVALS * probeIntervalMillis;
    }

    private boolean stalled(State state, long nowMillis) {
        return state.requestsInFlight > 0
                && nowMillis - state.lastActivityMillis >= STALL_INTERVALS * probeIntervalMillis;
    }

    private static final class State {
        private final String upstream;
        private int requestsInFlight;
        private long lastActivityMillis;

        State(String upstream) {
            this.upstream = upstream;
        }
    }
}
