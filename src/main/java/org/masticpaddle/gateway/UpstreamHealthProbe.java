package org.masticpaddle.gateway;

import java.net.URI;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.kernel.Scheduler;

/**
 * Probes upstreams that have requests in flight but send no bytes, and fails the attempts at those that are unreachable.
 *
 * <p>Covers upstreams that disappear without closing their connections, so that requests do not wait for their deadline.
 * Invariant: an upstream counts as unreachable only if several connection attempts fail, since a single one may fail
 * because of a lost packet; an attempt is kept until it ends, whatever becomes of its upstream. Used on the event loop only.
 */
final class UpstreamHealthProbe {
    /** Number of connection attempts that must all fail for an upstream to be unreachable. */
    private static final int CONNECTION_ATTEMPTS = 3;
    /** Time between the starts of two connection attempts, so that one burst of lost packets does not hit all of them. */
    private static final long ATTEMPT_SPACING_MILLIS = 100;

    private final Function<URI, CompletableFuture<Void>> reachability;
    private final Consumer<URI> closeIdle;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final long unresponsiveNanos;
    private final Map<String, Set<Attempt>> attemptsByUpstream = new HashMap<>();
    private final Set<String> upstreamsBeingProbed = new HashSet<>();

    /**
     * Creates a probe.
     *
     * @param reachability opens a test connection; fails if that is not possible
     * @param closeIdle closes the idle connections to an upstream
     * @param scheduler clock of the event loop
     * @param log decision log
     * @param unresponsiveNanos time without a byte after which an upstream is probed
     */
    UpstreamHealthProbe(
            Function<URI, CompletableFuture<Void>> reachability,
            Consumer<URI> closeIdle,
            Scheduler scheduler,
            DecisionLog log,
            long unresponsiveNanos) {
        this.reachability = Objects.requireNonNull(reachability, "reachability is null");
        this.closeIdle = Objects.requireNonNull(closeIdle, "closeIdle is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.unresponsiveNanos = unresponsiveNanos;
    }

    /** Adds an attempt that fails if the probe finds its upstream unreachable. */
    void track(Attempt attempt) {
        attemptsByUpstream
                .computeIfAbsent(attempt.upstream().upstream().id(), id -> new HashSet<>())
                .add(attempt);
        attempt.onEnd(() -> untrack(attempt));
    }

    private void untrack(Attempt attempt) {
        attemptsByUpstream.computeIfPresent(attempt.upstream().upstream().id(), (id, attempts) -> {
            attempts.remove(attempt);
            return attempts.isEmpty() ? null : attempts;
        });
    }

    /** Returns the number of attempts that have not ended. */
    int trackedAttempts() {
        return attemptsByUpstream.values().stream().mapToInt(Set::size).sum();
    }

    /** Opens a test connection to the upstream if it has been unresponsive for too long and no probe of it is in progress. */
    void probeIfUnresponsive(UpstreamState upstream) {
        final String id = upstream.upstream().id();
        if (upstream.unresponsiveNanos(scheduler.nanos()) < unresponsiveNanos || !upstreamsBeingProbed.add(id)) {
            return;
        }
        new Probe(upstream).start();
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
        closeIdle.accept(upstream.upstream().origin());
        if (inFlightAttempts != null) {
            inFlightAttempts.forEach(attempt -> attempt.fail("the upstream cannot be reached: " + reason));
        }
    }

    /** Probe of one upstream by several connection attempts, which start shortly after each other. Used on the event loop only. */
    private final class Probe {
        private final UpstreamState upstream;
        private int failures;
        private boolean ended;

        Probe(UpstreamState upstream) {
            this.upstream = upstream;
        }

        void start() {
            for (int index = 0; index < CONNECTION_ATTEMPTS; index++) {
                scheduler.schedule(index * ATTEMPT_SPACING_MILLIS, this::connect);
            }
        }

        private void connect() {
            if (!ended) {
                reachability.apply(upstream.upstream().origin()).whenComplete((ignored, error) -> onResult(error));
            }
        }

        private void onResult(Throwable error) {
            failures += error == null ? 0 : 1;
            if (ended || error != null && failures < CONNECTION_ATTEMPTS) {
                return;
            }
            ended = true;
            upstreamsBeingProbed.remove(upstream.upstream().id());
            if (error == null) {
                upstream.recordActivity(scheduler.nanos());
            } else if (upstream.unresponsiveNanos(scheduler.nanos()) >= unresponsiveNanos) {
                onUnreachable(upstream, String.valueOf(error.getMessage()));
            }
        }
    }
}
