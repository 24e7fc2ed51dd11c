package org.masticpaddle.routing;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.VersionName;

/** What an entry knows about versions at the moment of a choice. Called by the owner of the choice only. */
public interface VersionConditions {
    /**
     * Estimates the quality of a version.
     *
     * @param version declared version
     * @param kind request kind
     * @return the estimate
     */
    QualityEstimate quality(ModelVersion version, String kind);

    /**
     * Estimates the chance that the judge accepts a draft.
     *
     * @param draft version that drafts
     * @param kind request kind
     * @return probability
     */
    double acceptanceProbability(ModelVersion draft, String kind);

    /**
     * Estimates the time from dispatch to the whole answer.
     *
     * @param version the version
     * @param promptTokens tokens of the prompt
     * @param outputTokens expected generated tokens
     * @return time in milliseconds
     */
    double expectedMillis(VersionName version, int promptTokens, int outputTokens);

    /**
     * Tells whether the health of a version lets it take new work.
     *
     * @param version the version
     * @param stickyKey session or request, for a version on probation
     * @return {@code false} if the version is stopped, or on probation without this key
     */
    boolean healthy(VersionName version, String stickyKey);

    /**
     * Returns the share of new sessions that a roll-out has reached.
     *
     * @param rollout declared roll-out
     * @return share between 0 and 1; 0 if it is stopped or halted
     */
    double rolloutShare(Rollout rollout);

    /**
     * Tells whether answers are being rated. Without ratings nothing is learnt, so nothing is explored.
     *
     * @return {@code true} if the rating service answers
     */
    boolean ratingAvailable();
}
