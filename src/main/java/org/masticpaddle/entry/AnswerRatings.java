package org.masticpaddle.entry;

import java.util.Objects;

import org.masticpaddle.platform.RatingService;

/**
 * Ratings of answers. Immutable.
 *
 * @param service rating service
 * @param sampledShare share of delivered answers that is rated
 */
record AnswerRatings(RatingService service, double sampledShare) {
    AnswerRatings {
        Objects.requireNonNull(service, "service is null");
    }
}
