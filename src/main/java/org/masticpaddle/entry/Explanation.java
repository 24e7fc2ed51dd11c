package org.masticpaddle.entry;

import java.util.List;

import org.masticpaddle.routing.UpstreamScore;

/**
 * Answer to {@code POST /internal/explain}: what the entry would do with a request now, and why. Immutable.
 *
 * @param entry identifier of the entry
 * @param revision revision of the document in effect there
 * @param need quality that the answer needs
 * @param timeLeftMillis time until the deadline
 * @param binding version that the session is bound to, empty if none
 * @param candidates all declared versions
 * @param plan {@code single}, {@code cascade} or {@code refused}
 * @param words the plan and its reason in words
 * @param service service whose upstreams would run it, empty if it is refused
 * @param inFlight requests of this entry in flight at that service
 * @param bound number of them above which requests wait
 * @param upstreams scores of its upstreams for the first version of the plan, the best first
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
     * One version.
     *
     * @param version name
     * @param verdict whether it may answer, or why not
     * @param priceMicros expected price
     * @param quality expected quality
     * @param qualityBound quality that it has with 90% certainty
     * @param millis expected time to the whole answer
     * @param health phase of its health
     * @param rolloutShare share of new sessions that a roll-out to it has reached, -1 if there is none
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
