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
    private final Map<String, Set<Attempt>> attempts = new HashMap<>();
    private final Set<String> probing = new HashSet<>();

    UpstreamHealthProbe(HttpClient client, Scheduler scheduler, DecisionLog log, long unresponsiveNanos) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.unresponsiveNanos = unresponsiveNanos;
    }

    /** Adds an attempt that fails if the probe finds its upstream unreachable. */
    void track(Attempt attempt) {
        attempts.computeIfAbsent(attempt.upstream().upstream().id(), id -> new HashSet<>())
                .add(attempt);
    }

    /** Opens a test connection to the upstream if it has been unresponsive for too long and no probe of it is in progress. */
    void probeIfUnresponsive(UpstreamState upstream) {
        final String id = upstream.upstream().id();
        final Set<Attempt> inFlight = attempts.get(id);
        if (inFlight != null) {
            inFlight.removeIf(Attempt::ended);
            if (inFlight.isEmpty()) {
                attempts.remove(id);
            }
        }
        if (upstream.unresponsiveNanos(scheduler.nanos()) < unresponsiveNanos || !probing.add(id)) {
            return;
        }
        client.checkReachable(upstream.upstream().origin()).whenComplete((done, error) -> {
            probing.remove(id);
            if (error == null) {
                upstream.recordActivity(scheduler.nanos());
            } else {
                onUnreachable(upstream, String.valueOf(error.getMessage()));
            }
        });
    }

    private void onUnreachable(UpstreamState upstream, String reason) {
        final long now = scheduler.nanos();
        final Set<Attempt> inFlight = attempts.remove(upstream.upstream().id());
        log.write(
                Decision.UPSTREAM_UNRESPONSIVE,
                "upstream",
                upstream.upstream().id(),
                "silent_ms",
                upstream.unresponsiveNanos(now) / 1_000_000L,
                "reason",
                reason,
                "attempts",
                inFlight == null ? 0 : inFlight.size());
        upstream.tripCircuit(now);
        upstream.recordActivity(now);
        client.closeIdle(upstream.upstream().origin());
        if (inFlight != null) {
            inFlight.forEach(attempt -> attempt.fail("the upstream cannot be reached: " + reason));
        }
    }
}
