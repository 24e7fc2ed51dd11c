package org.masticpaddle.routing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.ObservedSpeed;
import org.masticpaddle.fleet.PromptSegment;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Places a request of a gateway on the upstream with the lowest score: the expected time to the start of the answer
 * (queue, prefill of uncached tokens, slowdown by batching) at the upstream's present pace, plus penalties for cross-domain
 * transfer and failures.
 *
 * <p>Designed for workloads in which many requests share prompt segments and run on few engines; unlike {@link
 * UpstreamSelector} it scores all members.
 *
 * <p>Invariant: among upstreams of one failure domain that report no work factor, answer as expected and do not fail, a request is
 * placed where it is predicted to start at most half of its prefill time later than at the best one, or 0.1 ms for each slot of a
 * plain service.
 * Immutable and thread-safe; its methods have no side effects.
 */
public final class UpstreamPlacement {
    /** Penalty per kilobyte of a request that is sent to another failure domain, since that transfer is charged for. */
    private static final double CROSS_DOMAIN_MILLIS_PER_KILOBYTE = 8;
    /** Penalty of an upstream with a failure rate of 1; proportionally less below. */
    private static final double FAILURE_PENALTY_MILLIS = 4_000;
    /** Expected delay per running request of an engine, whose steps take longer with a larger batch. */
    private static final double BATCHED_REQUEST_MILLIS = 10;
    /** Expected delay per request that the engine reported as waiting. */
    private static final double WAITING_REQUEST_MILLIS = 40;
    /**
     * Weight of the expected prefill time. Prefill delays not only this request but all that run beside it, and takes memory
     * from the prompts that others need.
     */
    private static final double PREFILL_WEIGHT = 1.5;

    /** Advantage of each free slot of a plain upstream. */
    private static final double FREE_SLOT_MILLIS = 0.1;

    /** Penalty for each request in flight at an upstream that gets a request that may crash it; outweighs expected times. */
    private static final double ENDANGERED_REQUEST_MILLIS = 1_000;

    private final String failureDomain;
    private final UpstreamSpeeds speeds;

    /**
     * Creates the placement of one gateway.
     *
     * @param failureDomain failure domain of the gateway
     * @param speeds whether learned speeds count
     */
    public UpstreamPlacement(String failureDomain, UpstreamSpeeds speeds) {
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
        this.speeds = Objects.requireNonNull(speeds, "speeds is null");
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
        return predictions(request, members, allowed, times, now).stream()
                .reduce((lowest, next) -> next.score() < lowest.score() ? next : lowest);
    }

    /** Returns the estimates for all members that may get the request, in their order. */
    List<Choice> predictions(
            Request request,
            Collection<UpstreamState> members,
            Predicate<UpstreamState> allowed,
            ServiceTimes times,
            long now) {
        final List<UpstreamState> candidates = members.stream()
                .filter(member -> member.allowsRequest(now) && allowed.test(member))
                .toList();
        final SegmentHolders holders = new SegmentHolders(request.model(), request.prompt(), candidates);
        final ExpectedLoads loads = new ExpectedLoads(members, now);
        final ExpectedWork work = new ExpectedWork(members, speeds, now);
        return candidates.stream()
                .map(member -> score(request, member, holders, loads, work, times, now))
                .toList();
    }

    private Choice score(
            Request request,
            UpstreamState member,
            SegmentHolders holders,
            ExpectedLoads loads,
            ExpectedWork work,
            ServiceTimes times,
            long now) {
        final boolean engine = !request.model().isEmpty();
        final int uncachedTokens = engine ? uncachedTokens(request, member, holders) : 0;
        final double workFactor =
                work.startFactor(member, engine ? ObservedSpeed.Work.PREFILL : ObservedSpeed.Work.PLAIN);
        final double serviceMillis = workFactor
                * (engine
                        ? times.prefillMillis(request.model(), request.relativeCost(), uncachedTokens)
                        : times.plainRequestMillis());
        final double requestsAhead = requestsAhead(member, loads);
        final double waitMillis = engine
                ? engineWaitMillis(member, loads, workFactor)
                : workFactor * Math.max(0, requestsAhead) * times.plainRequestMillis() / member.slots();
        final double comparedMillis = serviceMillis / work.sharedAdvantage(member);
        final double latencyRatio = Math.max(1, member.performance().latencyRatio(now));
        double score = (waitMillis + comparedMillis * (engine ? PREFILL_WEIGHT : 1)) * latencyRatio
                + member.performance().failureRate(now) * FAILURE_PENALTY_MILLIS;
        if (!member.upstream().failureDomain().equals(failureDomain)) {
            score += request.kilobytes() * CROSS_DOMAIN_MILLIS_PER_KILOBYTE;
        }
        if (!engine) {
            score += Math.min(0, requestsAhead) * FREE_SLOT_MILLIS;
        }
        if (request.isolated()) {
            score += (member.inFlight() + loads.inFlightOfOtherGateways(member)) * ENDANGERED_REQUEST_MILLIS;
        }
        return new Choice(
                member,
                waitMillis + serviceMillis,
                serviceMillis,
                engine
                        ? firstTokenMillis(
                                request, member, times, uncachedTokens, workFactor, waitMillis, serviceMillis)
                        : waitMillis + serviceMillis,
                uncachedTokens,
                workFactor,
                work.eventFactor(member),
                score);
    }

    /** Predicts the time to the first token. Prompts before it wait for as long as theirs are predicted to take. */
    private static double firstTokenMillis(
            Request request,
            UpstreamState member,
            ServiceTimes times,
            int uncachedTokens,
            double workFactor,
            double waitMillis,
            double serviceMillis) {
        final double prefillMillis =
                workFactor * times.firstTokenMillis(request.model(), request.relativeCost(), uncachedTokens);
        final double excess = Math.max(0, 1 - prefillMillis / serviceMillis);
        return waitMillis - member.prefillBacklogMillis() * excess + prefillMillis;
    }

    private static double engineWaitMillis(UpstreamState member, ExpectedLoads loads, double workFactor) {
        return member.prefillBacklogMillis()
                + (member.inFlight() + loads.inFlightOfOtherGateways(member)) * BATCHED_REQUEST_MILLIS
                + loads.waiting(member) * WAITING_REQUEST_MILLIS * workFactor;
    }

    /** Returns the number of requests that wait before one that is sent now; a negative number of slots that are free. */
    private static double requestsAhead(UpstreamState member, ExpectedLoads loads) {
        return member.inFlight() + loads.inFlightOfOtherGateways(member) + 1 - member.slots();
    }

    /** Returns the prompt tokens that an engine is expected to prefill, at least 1. */
    private static int uncachedTokens(Request request, UpstreamState member, SegmentHolders holders) {
        final double cachedTokens =
                Math.max(member.cachedTokens(request.model(), request.prompt()), holders.expectedTokens(member));
        return (int) Math.max(1, Math.round(request.promptTokens() - cachedTokens));
    }

    /**
     * Properties of a request that matter for its placement. Immutable.
     *
     * @param model model to run; empty for plain services
     * @param relativeCost ratio of the model's price to that of the most expensive model
     * @param prompt segments of the prompt; all but the last one may be shared by other requests
     * @param promptTokens length of the prompt in tokens
     * @param kilobytes size of the request in kilobytes
     * @param isolated whether the request may crash its upstream, so that the one with the fewest other requests is preferred
     */
    public record Request(
            String model,
            double relativeCost,
            List<PromptSegment> prompt,
            int promptTokens,
            double kilobytes,
            boolean isolated) {
        /** Checks the arguments and copies the list. */
        public Request {
            Objects.requireNonNull(model, "model is null");
            prompt = List.copyOf(prompt);
        }
    }

    /**
     * Chosen upstream and the estimates behind the choice.
     *
     * @param member state of the chosen upstream
     * @param expectedMillis time to the start of the answer in milliseconds by which upstreams are compared, without penalties and before
     *     it is scaled by the upstream's latency ratio
     * @param serviceMillis part of {@code expectedMillis} in which the upstream works on the request itself
     * @param predictedMillis predicted time to the start of the answer in milliseconds, in which waits do not count as slow prefill
     * @param uncachedTokens prompt tokens that are probably not in the upstream's prefix cache; 0 for plain services
     * @param workFactor expected factor of the time to the start of an answer of the upstream; 1 means as usual, lower is faster
     * @param eventFactor expected factor of the time between two events of a stream
     * @param score scaled expected time with all penalties in milliseconds; lower is better
     */
    public record Choice(
            UpstreamState member,
            double expectedMillis,
            double serviceMillis,
            double predictedMillis,
            int uncachedTokens,
            double workFactor,
            double eventFactor,
            double score) {}
}
