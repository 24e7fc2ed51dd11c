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
 * Tests upstreams that have work and give no sign of life, and ends the attempts at those that cannot be reached.
 *
 * <p>Answers the load pattern of upstreams that vanish without closing their connections. Used on the event loop only.
 */
final class UpstreamHealthProbe {
    private final HttpClient client;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final long silentNanos;
    private final Map<String, Set<Attempt>> attempts = new HashMap<>();
    private final Set<String> testing = new HashSet<>();

    UpstreamHealthProbe(HttpClient client, Scheduler scheduler, DecisionLog log, long silentNanos) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.silentNanos = silentNanos;
    }

    void began(Attempt attempt) {
        attempts.computeIfAbsent(attempt.upstream().upstream().id(), id -> new HashSet<>())
                .add(attempt);
    }

    void check(UpstreamState upstream) {
        final String id = upstream.upstream().id();
        final Set<Attempt> running = attempts.get(id);
        if (running != null) {
            running.removeIf(Attempt::over);
            if (running.isEmpty()) {
                attempts.remove(id);
            }
        }
        if (upstream.unresponsiveNanos(scheduler.nanos()) < silentNanos || !testing.add(id)) {
            return;
        }
        client.checkReachable(upstream.upstream().origin()).whenComplete((done, error) -> {
            testing.remove(id);
            if (error == null) {
                upstream.recordActivity(scheduler.nanos());
            } else {
                lost(upstream, String.valueOf(error.getMessage()));
            }
        });
    }

    private void lost(UpstreamState upstream, String reason) {
        final long now = scheduler.nanos();
        final Set<Attempt> running = attempts.remove(upstream.upstream().id());
        log.write(
                Decision.UPSTREAM_UNRESPONSIVE,
                "upstream",
                upstream.upstream().id(),
                "silent_ms",
                upstream.unresponsiveNanos(now) / 1_000_000L,
                "reason",
                reason,
                "attempts",
                running == null ? 0 : running.size());
        upstream.tripCircuit(now);
        upstream.recordActivity(now);
        client.closeIdle(upstream.upstream().origin());
        if (running != null) {
            running.forEach(attempt -> attempt.fail("the upstream cannot be reached: " + reason));
        }
    }
}
