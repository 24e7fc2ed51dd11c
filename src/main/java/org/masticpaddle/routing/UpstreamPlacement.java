package org.masticpaddle.routing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.wire.Hashing;

/**
 * Places a request of a gateway on the upstream with the lowest score: the expected time to the start of the answer
 * (queue, prefill of uncached tokens, slowdown by batching) plus penalties for cross-domain transfer and failures.
 *
 * <p>Designed for workloads in which many requests share prompt segments and run on few engines; unlike {@link
 * UpstreamSelector} it scores all members. Immutable and thread-safe; its methods have no side effects.
 */
public final class UpstreamPlacement {
    /** Penalty per kilobyte of a request that is sent to another failure domain, since that transfer is charged for. */
    private static final double CROSS_DOMAIN_MILLIS_PER_KILOBYTE = 8;
    /** Penalty of an upstream with a failure rate of 1; proportionally less below. */
    private static final double FAILURE_PENALTY_MILLIS = 4_000;
    /** Expected delay per running request of an engine, whose steps take longer with a larger batch. */
    private static final double BATCHED_REQUEST_MILLIS = 3;
    /** Expected delay per request that the engine reported as waiting. */
    private static final double WAITING_REQUEST_MILLIS = 40;
    /**
     * Largest affinity penalty as a share of the prefill time. It applies to upstreams that have none of the prompt
     * cached, so that all gateways tend to send a new shared prompt to the same upstream.
     */
    private static final double AFFINITY_WEIGHT = 0.3;

    /** Penalty for each request in flight at an upstream that gets a request that may crash it; outweighs expected times. */
    private static final double ENDANGERED_REQUEST_MILLIS = 1_000;

    private final String failureDomain;

    /**
     * Creates the placement of one gateway.
     *
     * @param failureDomain failure domain of the gateway
     */
    public UpstreamPlacement(String failureDomain) {
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
    }

    /**
     * Chooses the upstream with the lowest score.
     *
     * @param request request to place
     * @param members upstreams of the service
     * @param allowed predicate for the members that may get the request
     * @param times observed times of the service
     * @param now current time in nanoseconds
     * @return the choice, or empty if no allowed member has a circuit that permits a request
     */
    public Optional<Choice> choose(
            Request request,
            Collection<UpstreamState> members,
            Predicate<UpstreamState> allowed,
            ServiceTimes times,
            long now) {
        Choice lowestScored = null;
        for (final UpstreamState member : members) {
            if (!member.allowsRequest(now) || !allowed.test(member)) {
                continue;
            }
            final Choice choice = score(request, member, times, now);
            if (lowestScored == null || choice.score() < lowestScored.score()) {
                lowestScored = choice;
            }
        }
        return Optional.ofNullable(lowestScored);
    }

    private Choice score(Request request, UpstreamState member, ServiceTimes times, long now) {
        final int uncachedTokens = request.model().isEmpty()
                ? 0
                : member.uncachedTokens(request.model(), request.prompt(), request.promptTokens());
        final double serviceMillis = request.model().isEmpty()
                ? times.plainRequestMillis()
                : times.prefillMillis(request.model(), request.relativeCost(), uncachedTokens);
        final double waitMillis =
                request.model().isEmpty() ? plainServiceWaitMillis(member, times, now) : engineWaitMillis(member, now);
        final double expectedMillis = (waitMillis + serviceMillis) * Math.max(1, member.latencyRatio());
        double score = expectedMillis + member.failureRate() * FAILURE_PENALTY_MILLIS;
        if (!member.upstream().failureDomain().equals(failureDomain)) {
            score += request.kilobytes() * CROSS_DOMAIN_MILLIS_PER_KILOBYTE;
        }
        if (!request.affinityKey().isEmpty() && uncachedTokens >= request.promptTokens()) {
            score += serviceMillis
                    * AFFINITY_WEIGHT
                    * affinityDistance(request.affinityKey(), member.upstream().id());
        }
        if (request.isolated()) {
            score += (member.inFlight() + member.inFlightOfOtherGateways(now)) * ENDANGERED_REQUEST_MILLIS;
        }
        return new Choice(member, waitMillis + serviceMillis, serviceMillis, uncachedTokens, score);
    }

    private static double engineWaitMillis(UpstreamState member, long now) {
        return member.prefillBacklogMillis()
                + (member.inFlight() + member.inFlightOfOtherGateways(now)) * BATCHED_REQUEST_MILLIS
                + member.waiting(now) * WAITING_REQUEST_MILLIS;
    }

    /**
     * Returns the expected wait for a slot, or a small negative value that favours the upstream with more free slots.
     */
    private static double plainServiceWaitMillis(UpstreamState member, ServiceTimes times, long now) {
        final int requestsAhead = member.inFlight() + member.inFlightOfOtherGateways(now) + 1 - member.slots();
        return requestsAhead <= 0 ? requestsAhead * 0.1 : requestsAhead * times.plainRequestMillis() / member.slots();
    }

    /** Returns the distance of an upstream from a prompt's preferred one, between 0 and 1 and equal in all gateways. */
    private static double affinityDistance(String affinityKey, String upstreamId) {
        return 1 - (Hashing.rendezvousWeight(affinityKey, upstreamId) >>> 11) * 0x1.0p-53;
    }

    /**
     * Properties of a request that matter for its placement. Immutable.
     *
     * @param model model to run; empty for plain services
     * @param relativeCost ratio of the model's price to that of the most expensive model
     * @param prompt segments of the prompt
     * @param promptTokens length of the prompt in tokens
     * @param affinityKey identifier of the last segment that other requests share, which determines the preferred
     *     upstream; empty if there is none
     * @param kilobytes size of the request in kilobytes
     * @param isolated whether the request may crash its upstream, so that the one with the fewest other requests is preferred
     */
    public record Request(
            String model,
            double relativeCost,
            List<PromptSegment> prompt,
            int promptTokens,
            String affinityKey,
            double kilobytes,
            boolean isolated) {
        /** Checks the arguments and copies the list. */
        public Request {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(affinityKey, "affinityKey is null");
            prompt = List.copyOf(prompt);
        }
    }

    /**
     * Chosen upstream and the estimates behind the choice.
     *
     * @param member state of the chosen upstream
     * @param expectedMillis expected time to the start of the answer in milliseconds, without penalties and before it
     *     is scaled by the upstream's latency ratio
     * @param serviceMillis part of {@code expectedMillis} in which the upstream works on the request itself
     * @param uncachedTokens prompt tokens that are probably not in the upstream's prefix cache; 0 for plain services
     * @param score scaled expected time with all penalties in milliseconds; lower is better
     */
    public record Choice(
            UpstreamState member, double expectedMillis, double serviceMillis, int uncachedTokens, double score) {}
}
