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
 * Chooses the upstream of a request by the expected time to its answer: work in front of it, tokens to read, crowding, the
 * way to other failure domains, and failures.
 *
 * <p>Answers the load pattern of many requests that share prompt parts on few engines. Pure; immutable.
 */
public final class UpstreamPlacement {
    /** Added per kilobyte of a request that crosses failure domains; that traffic is priced. */
    private static final double CROSSING_MILLIS_PER_KILOBYTE = 8;
    /** Added for an upstream whose answers were all failures. */
    private static final double FAILURE_MILLIS = 4_000;
    /** Added for each running request of an engine, whose steps grow with the batch. */
    private static final double ENGINE_CROWDING_MILLIS = 3;
    /** Added for each request that waits at an upstream by its report. */
    private static final double WAITING_MILLIS = 40;
    /** Part of its own reading time that the preferred upstream of a prompt is favoured by while nobody has it cached. */
    private static final double PREFERENCE = 0.3;

    private final String failureDomain;

    /**
     * Creates the policy of one gateway.
     *
     * @param failureDomain failure domain of the gateway
     */
    public UpstreamPlacement(String failureDomain) {
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
    }

    /**
     * Chooses an upstream.
     *
     * @param request what is to be placed
     * @param members upstreams of the service
     * @param allowed which of them may get the request
     * @param times times of the service
     * @param now time in nanoseconds
     * @return the choice, empty if no upstream is allowed and open
     */
    public Optional<Choice> choose(
            Request request,
            Collection<UpstreamState> members,
            Predicate<UpstreamState> allowed,
            ServiceTimes times,
            long now) {
        Choice best = null;
        for (final UpstreamState member : members) {
            if (!member.open(now) || !allowed.test(member)) {
                continue;
            }
            final Choice choice = rate(request, member, times, now);
            if (best == null || choice.score() < best.score()) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private Choice rate(Request request, UpstreamState member, ServiceTimes times, long now) {
        final int unread = request.model().isEmpty()
                ? 0
                : member.uncachedTokens(request.model(), request.prompt(), request.promptTokens());
        final double own = request.model().isEmpty()
                ? times.callMillis()
                : times.prefillMillis(request.model(), request.relativeCost(), unread);
        final double wait = request.model().isEmpty() ? callWait(member, times, now) : engineWait(member, now);
        final double expected = (wait + own) * Math.max(1, member.slowness());
        double score = expected + member.failureShare() * FAILURE_MILLIS;
        if (!member.upstream().failureDomain().equals(failureDomain)) {
            score += request.kilobytes() * CROSSING_MILLIS_PER_KILOBYTE;
        }
        if (!request.affinity().isEmpty() && unread >= request.promptTokens()) {
            score += own
                    * PREFERENCE
                    * distance(request.affinity(), member.upstream().id());
        }
        return new Choice(member, wait + own, own, unread, score);
    }

    private static double engineWait(UpstreamState member, long now) {
        return member.prefillBacklogMillis()
                + (member.inFlight() + member.inFlightOfOtherGateways(now)) * ENGINE_CROWDING_MILLIS
                + member.waiting(now) * WAITING_MILLIS;
    }

    private static double callWait(UpstreamState member, ServiceTimes times, long now) {
        final int ahead = member.inFlight() + member.inFlightOfOtherGateways(now) + 1 - member.slots();
        return ahead <= 0 ? ahead * 0.1 : ahead * times.callMillis() / member.slots();
    }

    /** Distance from a prompt's preferred upstream, between 0 and 1, alike in all gateways. */
    private static double distance(String affinity, String id) {
        return 1 - (Hashing.rendezvous(affinity, id) >>> 11) * 0x1.0p-53;
    }

    /**
     * What is to be placed. Immutable.
     *
     * @param model model that is to run it, empty text for plain services
     * @param relativeCost price of the model as part of the most expensive model's
     * @param prompt parts of the prompt
     * @param promptTokens tokens of the prompt
     * @param affinity name of the largest shared part, empty text if there is none
     * @param kilobytes size of the request
     */
    public record Request(
            String model,
            double relativeCost,
            List<PromptSegment> prompt,
            int promptTokens,
            String affinity,
            double kilobytes) {
        /** Checks the arguments and copies the list. */
        public Request {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(affinity, "affinity is null");
            prompt = List.copyOf(prompt);
        }
    }

    /**
     * A chosen upstream.
     *
     * @param member the upstream
     * @param expectedMillis expected time to the beginning of the answer
     * @param serviceMillis part of it that the request itself takes
     * @param uncachedTokens tokens of the prompt that are probably not cached there
     * @param score rating that decided, lower is better
     */
    public record Choice(
            UpstreamState member, double expectedMillis, double serviceMillis, int uncachedTokens, double score) {}
}
