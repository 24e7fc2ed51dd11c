package org.masticpaddle.routing;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.VersionName;

/**
 * Current estimates and health of the versions, as inputs of the {@link VersionSelector}. Not thread-safe: called by
 * the thread of the selector only.
 */
public interface VersionConditions {
    /**
     * Estimates the quality of a version.
     *
     * @param version declared version
     * @param kind request kind
     * @return estimated quality
     */
    QualityEstimate quality(ModelVersion version, String kind);

    /**
     * Estimates the probability that the judge accepts a draft.
     *
     * @param draft drafting version
     * @param kind request kind
     * @return probability between 0 and 1
     */
    double acceptanceProbability(ModelVersion draft, String kind);

    /**
     * Estimates the time from dispatch to the complete answer.
     *
     * @param version name of the version
     * @param promptTokens length of the prompt in tokens
     * @param outputTokens expected number of generated tokens
     * @return time in milliseconds
     */
    double expectedMillis(VersionName version, int promptTokens, int outputTokens);

    /**
     * Returns whether the health of a version allows new requests.
     *
     * @param version name of the version
     * @param stickyKey identifier of the session, or of a request without a session, which decides for versions on
     *     probation
     * @return {@code false} if the version is stopped, or is on probation and its share excludes the key
     */
    boolean healthy(VersionName version, String stickyKey);

    /**
     * Returns the share of new sessions at the current stage of a rollout.
     *
     * @param rollout declared rollout
     * @return share between 0 and 1; 0 if the rollout is stopped or halted
     */
    double rolloutShare(Rollout rollout);

    /**
     * Returns whether ratings are available. Without them, exploration yields no information and drafts cannot be
     * judged.
     *
     * @return {@code true} if the rating service responds
     */
    boolean ratingAvailable();
}
