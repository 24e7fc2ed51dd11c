package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.masticpaddle.admission.WindowedRetryBudget;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.ServiceTimes;

/**
 * What a gateway knows and has spent: the configuration in force and its freshness, upstreams, times and retry budgets.
 *
 * <p>Invariant: the version of the configuration never goes back. Used on the event loop only.
 */
final class GatewayState {
    /** Time after an outage of the log in which live upstreams are listed again, by the platform's promise and a margin. */
    private static final long RETURN_NANOS = 2_200_000_000L;
    /** Distance kept from the bound on revoked keys, for the way from the caller and for timers that fire late. */
    private static final long REVOCATION_MARGIN_NANOS = 400_000_000L;
    /** Part of the retries that requests allow; the rest covers requests that other gateways counted at another time. */
    private static final double EARNED_SHARE = 0.95;
    /** Part of the shared slack that one gateway may use, since the others may use theirs at the same time. */
    private static final double SLACK_SHARE = 0.08;
    /** Part of the retries that drafts leave to requests whose attempt failed. */
    static final double KEPT_FOR_FAILURES = 0.3;

    private GatewayBounds bounds;
    private final UpstreamRegistry roster = new UpstreamRegistry(RETURN_NANOS);
    private final Map<String, ServiceTimes> times = new HashMap<>();
    private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();
    private Optional<RoutingTable> table = Optional.empty();
    private OptionalLong confirmedNanos = OptionalLong.empty();
    private boolean rosterRead;

    GatewayState(GatewayBounds bounds) {
        this.bounds = Objects.requireNonNull(bounds, "bounds is null");
    }

    /** Takes other bounds. Budgets that are in use keep theirs. */
    void bounds(GatewayBounds newest) {
        bounds = Objects.requireNonNull(newest, "newest is null");
    }

    Optional<RoutingTable> table() {
        return table;
    }

    /** Puts a configuration in force unless it is older than the one in force. */
    boolean accept(RoutingTable newest) {
        if (table.isPresent() && newest.version() <= table.get().version()) {
            return false;
        }
        table = Optional.of(newest);
        return true;
    }

    void confirmed(long nanos) {
        confirmedNanos = OptionalLong.of(Math.max(nanos, confirmedNanos.orElse(nanos)));
    }

    /** Age of the configuration's confirmation by the log, empty before the first. */
    OptionalLong confirmedAgeMillis(long now) {
        return confirmedNanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, now - confirmedNanos.getAsLong()) / 1_000_000L);
    }

    /** Tells whether keys can be trusted: a key that was taken away longer ago than the bound would be known. */
    boolean keysFresh(long now) {
        return confirmedNanos.isPresent()
                && now - confirmedNanos.getAsLong() < bounds.keyRevocation().toNanos() - REVOCATION_MARGIN_NANOS;
    }

    UpstreamRegistry roster() {
        return roster;
    }

    void rosterRead() {
        rosterRead = true;
    }

    /** Tells whether the log has been read once. */
    boolean started() {
        return table.isPresent() && rosterRead;
    }

    /** Tells whether the gateway can serve requests. */
    boolean ready(long now) {
        return started() && keysFresh(now);
    }

    ServiceTimes times(String service) {
        return times.computeIfAbsent(service, name -> new ServiceTimes());
    }

    WindowedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        EARNED_SHARE * bounds.retryShare(), SLACK_SHARE * bounds.retrySlack(), bounds.retryWindow()));
    }
}
