package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;
import org.masticpaddle.wire.HttpClient;

/**
 * Probes upstreams that have requests in flight but send no bytes, and fails the attempts at those that are unreachable.
 *
 * <p>Covers upstreams that disappear without closing their connections, so that requests do not wait for their deadline.
 * Used on the event loop only.
 */
final class UpstreamHealthProbe {
    private final HttpClient client;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final long unresponsiveNanos;
    private final Map<String, Set<Attempt>> attemptsByUpstream = new HashMap<>();
    private final Set<String> upstreamsBeingProbed = new HashSet<>();

    UpstreamHealthProbe(HttpClient client, Scheduler scheduler, DecisionLog log, long unresponsiveNanos) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.unresponsiveNanos = unresponsiveNanos;
    }

    /** Adds an attempt that fails if the probe finds its upstream unreachable. */
    void track(Attempt attempt) {
        attemptsByUpstream
                .computeIfAbsent(attempt.upstream().upstream().id(), id -> new HashSet<>())
                .add(attempt);
    }

    /** Opens a test connection to the upstream if it has been unresponsive for too long and no probe of it is in progress. */
    void probeIfUnresponsive(UpstreamState upstream) {
        final String id = upstream.upstream().id();
        final Set<Attempt> inFlightAttempts = attemptsByUpstream.get(id);
        if (inFlightAttempts != null) {
            inFlightAttempts.removeIf(Attempt::ended);
            if (inFlightAttempts.isEmpty()) {
                attemptsByUpstream.remove(id);
            }
        }
        if (upstream.unresponsiveNanos(scheduler.nanos()) < unresponsiveNanos || !upstreamsBeingProbed.add(id)) {
            return;
        }
        client.checkReachable(upstream.upstream().origin()).whenComplete((ignored, error) -> {
            upstreamsBeingProbed.remove(id);
            if (error == null) {
                upstream.recordActivity(scheduler.nanos());
            } else {
                onUnreachable(upstream, String.valueOf(error.getMessage()));
            }
        });
    }

    private void onUnreachable(UpstreamState upstream, String reason) {
        final long now = scheduler.nanos();
        final Set<Attempt> inFlightAttempts =
                attemptsByUpstream.remove(upstream.upstream().id());
        log.write(
                Decision.UPSTREAM_UNRESPONSIVE,
                "upstream",
                upstream.upstream().id(),
                "silent_ms",
                upstream.unresponsiveNanos(now) / 1_000_000L,
                "reason",
                reason,
                "attempts",
                inFlightAttempts == null ? 0 : inFlightAttempts.size());
        upstream.tripCircuit(now);
        upstream.recordActivity(now);
        client.closeIdle(upstream.upstream().origin());
        if (inFlightAttempts != null) {
            inFlightAttempts.forEach(attempt -> attempt.fail("the upstream cannot be reached: " + reason));
        }
    }
}
