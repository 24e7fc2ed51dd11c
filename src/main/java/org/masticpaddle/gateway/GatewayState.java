package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.admission.TrafficShare;
import org.masticpaddle.admission.WindowedRetryBudget;
import org.masticpaddle.control.LogPosition;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.DraftConfidences;
import org.masticpaddle.routing.ServiceTimes;

/**
 * Mutable state of a gateway: the routing table in force and its freshness, upstreams, service times and retry budgets.
 *
 * <p>Invariant: the version of the routing table only increases. Used on the event loop only, but the table, its position and the
 * age of its confirmation may be read by any thread.
 */
final class GatewayState {
    /**
     * Time after an outage of the log within which live upstreams are listed again: the platform's guarantee and a margin.
     */
    private static final long OUTAGE_GRACE_NANOS = 2_200_000_000L;
    /** Margin below the limit on the use of revoked keys; covers the network delay from the caller and late timers. */
    private static final long KEY_REVOCATION_MARGIN_NANOS = 400_000_000L;
    /**
     * Fraction of the configured retry share that is used; the rest covers requests that other gateways counted in a
     * different window.
     */
    private static final double RETRY_SHARE_FACTOR = 0.95;
    /** Fraction of the shared retry slack that the gateways use together, so that errors of their shares do not exceed it. */
    private static final double RETRY_SLACK_FACTOR = 1 / TrafficShare.MAX_SUM;
    /** Fraction of the retry budget that escalations leave for requests whose attempt failed. */
    static final double FAILURE_RETRY_RESERVE = 0.3;

    private GatewayBounds bounds;
    private final UpstreamRegistry registry = new UpstreamRegistry(OUTAGE_GRACE_NANOS);
    private final UpstreamLimits limits;
    private final Map<String, ServiceTimes> serviceTimes = new HashMap<>();
    private final Map<String, DraftConfidences> draftConfidences = new HashMap<>();
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private volatile Optional<RoutingTable> table = Optional.empty();
    private volatile Optional<LogPosition> tablePosition = Optional.empty();
    private volatile OptionalLong confirmedNanos = OptionalLong.empty();
    private boolean upstreamsListed;

    /**
     * Creates the state of a gateway that knows nothing yet.
     *
     * @param bounds limits in force
     * @param random source of the times of the first permits at limited upstreams
     */
    GatewayState(GatewayBounds bounds, UniformRandomProvider random) {
        this.bounds = Objects.requireNonNull(bounds, "bounds is null");
        limits = new UpstreamLimits(registry, random);
    }

    /** Replaces the limits. Retry budgets that already exist keep their ratio and window. */
    void updateBounds(GatewayBounds newBounds) {
        bounds = Objects.requireNonNull(newBounds, "newBounds is null");
    }

    /** Returns the limits in force. */
    GatewayBounds bounds() {
        return bounds;
    }

    Optional<RoutingTable> table() {
        return table;
    }

    /**
     * Puts a routing table in force if its version is higher than that of the current one.
     *
     * @param newTable routing table of a record of the operator
     * @param position place of the record in the log
     * @return whether the table was applied
     */
    boolean applyTable(RoutingTable newTable, LogPosition position) {
        if (table.isPresent() && newTable.version() <= table.get().version()) {
            return false;
        }
        table = Optional.of(newTable);
        tablePosition = Optional.of(position);
        return true;
    }

    /** Returns the place of the record that holds the routing table in force, empty if none is in force. */
    Optional<LogPosition> tablePosition() {
        return tablePosition;
    }

    /** Records the time at which the log confirmed that the configuration was current. */
    void recordConfirmation(long nanos) {
        confirmedNanos = OptionalLong.of(Math.max(nanos, confirmedNanos.orElse(nanos)));
    }

    /** Returns the time in milliseconds since the log confirmed the configuration, empty before the first confirmation. */
    OptionalLong confirmedAgeMillis(long now) {
        return confirmedNanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, now - confirmedNanos.getAsLong()) / 1_000_000L);
    }

    /** Returns whether API keys may be accepted, because a key revoked longer ago than the limit would be known to be revoked. */
    boolean keysCurrent(long now) {
        return confirmedNanos.isPresent()
                && now - confirmedNanos.getAsLong() < bounds.keyRevocation().toNanos() - KEY_REVOCATION_MARGIN_NANOS;
    }

    UpstreamRegistry registry() {
        return registry;
    }

    /** Returns the pacing of requests to upstreams that state a limit. */
    UpstreamLimits limits() {
        return limits;
    }

    /** Records that the list of upstreams was read from the log. */
    void markUpstreamsListed() {
        upstreamsListed = true;
        registry.markListed();
    }

    /** Returns whether a routing table, all orders of the operator and the list of upstreams were read from the log. */
    boolean started() {
        return table.isPresent() && confirmedNanos.isPresent() && upstreamsListed;
    }

    /** Returns whether the gateway can serve requests, including those that need an API key. */
    boolean ready(long now) {
        return started() && keysCurrent(now);
    }

    ServiceTimes serviceTimes(String service) {
        return serviceTimes.computeIfAbsent(service, name -> new ServiceTimes());
    }

    DraftConfidences draftConfidences(String service) {
        return draftConfidences.computeIfAbsent(service, name -> new DraftConfidences());
    }

    WindowedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                name -> new WindowedRetryBudget(
                        RETRY_SHARE_FACTOR * bounds.retryShare(),
                        () -> RETRY_SLACK_FACTOR * bounds.retrySlack() * limits.trafficShare(service),
                        bounds.retryWindow()));
    }
}
