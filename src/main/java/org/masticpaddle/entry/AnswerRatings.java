package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.platform.RatingService;

/**
 * Rating service, and the share of answers that it rates. Immutable.
 *
 * @param service service that rates drafts and sampled answers
 * @param sampledShare share of the delivered answers that is rated, 0 to 1
 */
record AnswerRatings(RatingService service, double sampledShare) {
    AnswerRatings {
        Objects.requireNonNull(service, "service is null");
    }
}
