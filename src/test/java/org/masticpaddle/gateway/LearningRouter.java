package org.masticpaddle.gateway;

import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/** Lets the estimates learn from some upstreams. Immutable. */
final class LearningRouter implements VersionRouter {
    private final Predicate<Upstream> learnedFrom;

    LearningRouter(Predicate<Upstream> learnedFrom) {
        this.learnedFrom = learnedFrom;
    }

    @Override
    public EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public AttemptObserver attemptSent(SentAttempt attempt) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean updatesEstimates(Upstream upstream) {
        return learnedFrom.test(upstream);
    }
}
