package org.masticpaddle.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.admission.PermitQueue;
import org.masticpaddle.admission.TrafficShare;
import org.masticpaddle.fleet.UpstreamRegistry;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Paces the requests to upstreams that state a limit of the requests that they accept from all gateways together.
 *
 * <p>Invariant: the rates of all gateways add up to the limit of an upstream, apart from the error of the estimated shares.
 * Used on the event loop only.
 */
final class UpstreamLimits {
    /** Lowest rate, at which a gateway learns that an upstream with a very low limit states none any more. */
    private static final double MIN_PERMITS_PER_SECOND = 0.02;

    private final UpstreamRegistry registry;
    private final UniformRandomProvider random;
    private final Map<String, TrafficShare> shares = new HashMap<>();
    private final Map<String, PermitQueue> queues = new HashMap<>();

    /**
     * Creates a duty without observations.
     *
     * @param registry upstreams and the limits that they state
     * @param random source of the first permit's time
     */
    UpstreamLimits(UpstreamRegistry registry, UniformRandomProvider random) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /** Updates the estimated shares and the rates. Called about ten times a second. */
    void tick(long now) {
        registry.services().forEach(service -> {
            final List<UpstreamState> members = registry.members(service);
            observe(service, members, now);
            members.forEach(member -> pace(member, now));
        });
    }

    /** Starts to pace the requests to an upstream if it has stated a limit. */
    void pace(UpstreamState upstream, long now) {
        if (upstream.limit().isPresent()) {
            final String service = upstream.upstream().service();
            final double share = share(service).share(queue(service).size());
            upstream.pace(
                    Math.max(MIN_PERMITS_PER_SECOND, share * upstream.limit().getAsDouble()), random.nextDouble(), now);
        }
    }

    /** Returns the requests that wait for a permit of any upstream of a service. */
    PermitQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> new PermitQueue());
    }

    /** Returns the part of this gateway in the traffic of a service. */
    double trafficShare(String service) {
        return share(service).share(0);
    }

    /** Returns the part of this gateway in the traffic of a service by its own traffic alone, empty if it is not known now. */
    OptionalDouble observedShare(String service, long now) {
        return share(service).observedShare(now);
    }

    private TrafficShare share(String service) {
        return shares.computeIfAbsent(service, name -> new TrafficShare());
    }

    private void observe(String service, List<UpstreamState> members, long now) {
        final Map<Boolean, List<UpstreamState>> byLimit = members.stream()
                .collect(Collectors.partitioningBy(
                        member -> member.limit().isPresent() || member.cold().cold(now)));
        final OptionalDouble unlimited = reportedMean(byLimit.get(false), now);
        final OptionalDouble limited = reportedMean(byLimit.get(true), now);
        if (unlimited.isEmpty() && limited.isEmpty()) {
            return;
        }
        final double total = byLimit.get(false).size() * unlimited.orElseGet(limited::getAsDouble)
                + byLimit.get(true).size() * limited.orElseGet(unlimited::getAsDouble);
        share(service)
                .observe(members.stream().mapToInt(UpstreamState::inFlight).sum(), total, now);
    }

    /**
     * Estimates the mean number of requests in flight at upstreams, from their recent reports. Limited upstreams and others have
     * different loads, and a gateway hears less often from limited ones.
     *
     * <p>A report counts the request that was answered with it. If requests are spread at random, the mean is therefore too large
     * by one; if they are spread evenly over idle upstreams, it is not. The dispersion of the reports tells one from the other,
     * so that the estimate is not below the mean in either case.
     */
    private static OptionalDouble reportedMean(List<UpstreamState> upstreams, long now) {
        final int[] reports = upstreams.stream()
                .map(upstream -> upstream.loadReport().inFlightOfAllGateways(now))
                .flatMapToInt(OptionalInt::stream)
                .toArray();
        if (reports.length < 2) {
            return IntStream.of(reports).average();
        }
        final double mean = IntStream.of(reports).average().orElseThrow();
        final double variance = IntStream.of(reports)
                        .mapToDouble(report -> (report - mean) * (report - mean))
                        .sum()
                / (reports.length - 1);
        return OptionalDouble.of(mean - (mean > 0 ? Math.min(1, Math.min(mean, variance / mean)) : 0));
    }
}
