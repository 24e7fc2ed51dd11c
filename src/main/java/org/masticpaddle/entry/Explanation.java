package org.masticpaddle.entry;

import java.util.List;

import org.masticpaddle.routing.UpstreamScore;

/**
 * Response to {@code POST /internal/explain}: how the entry would route a request now, and why. Immutable.
 *
 * @param entry identifier of the entry
 * @param revision revision of the routing document in effect at the entry
 * @param need required quality, 0 to 1
 * @param timeLeftMillis milliseconds until the deadline
 * @param binding version that the session is bound to, empty if none
 * @param candidates assessments of all declared versions
 * @param plan {@code single}, {@code cascade} or {@code refused}
 * @param words summary of the plan and its reason
 * @param service service whose upstreams would run the request, empty if it is rejected
 * @param inFlight requests of this entry in flight at that service
 * @param bound concurrency limit, above which requests wait
 * @param upstreams scores of the upstreams of the service for the first version of the plan, the best first
 */
public record Explanation(
        String entry,
        long revision,
        double need,
        long timeLeftMillis,
        String binding,
        List<Candidate> candidates,
        String plan,
        String words,
        String service,
        int inFlight,
        int bound,
        List<UpstreamScore> upstreams) {
    /** Copies the lists. */
    public Explanation {
        candidates = List.copyOf(candidates);
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Assessment of one version for the request.
     *
     * @param version name of the version
     * @param verdict whether the version may answer, or why not
     * @param priceMicros expected price in millionths of the currency unit
     * @param quality expected quality, 0 to 1
     * @param qualityBound lower confidence bound of the quality, at 90%
     * @param millis expected milliseconds to the complete answer
     * @param health phase of its health
     * @param rolloutShare share of new sessions that a rollout to the version has reached, -1 without a rollout
     */
    public record Candidate(
            String version,
            String verdict,
            long priceMicros,
            double quality,
            double qualityBound,
            double millis,
            String health,
            double rolloutShare) {}
}
