package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/**
 * Chooses the versions of a service that a request may run on and observes their attempts. Used on the event loop
 * only.
 */
interface VersionRouter {
    /**
     * Chooses the upstreams that may run a request by their version. The choice applies to the next attempt only, since an
     * order may arrive or a rollout may end while the request is processed.
     *
     * @param service name of the service
     * @param session session of the request, empty if it belongs to none
     * @param requestId identifier of the request, used in place of an absent session
     * @return the eligible upstreams
     */
    EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId);

    /**
     * Records that an attempt is sent to an upstream, and observes the attempt until it ends.
     *
     * @param attempt what is sent, where and for which session
     * @return observer of the attempt, to be told of its events and its end
     */
    AttemptObserver attemptSent(SentAttempt attempt);

    /**
     * Returns whether the estimates of service times may learn from an upstream. During a rollout they are what the new version
     * is compared with, so they learn neither from it nor from old versions that have lost their load to it.
     *
     * @param upstream upstream that has given an answer
     * @return {@code false} for a version under test, and for an old version from the stage after the canary on
     */
    boolean updatesEstimates(Upstream upstream);

    /**
     * An attempt that is sent to an upstream. Immutable.
     *
     * @param requestId identifier of the request
     * @param session session of the request, empty if it belongs to none
     * @param upstream the upstream that gets the request
     * @param route name of the request's route
     * @param expectedMillis expected time to the beginning of the answer, in milliseconds
     * @param expectedEventMillis expected time between two events of a stream, in milliseconds; 0 for other answers
     */
    record SentAttempt(
            String requestId,
            Optional<String> session,
            Upstream upstream,
            String route,
            double expectedMillis,
            double expectedEventMillis) {
        /** Checks the arguments. */
        public SentAttempt {
            Objects.requireNonNull(requestId, "requestId is null");
            Objects.requireNonNull(session, "session is null");
            Objects.requireNonNull(upstream, "upstream is null");
            Objects.requireNonNull(route, "route is null");
        }
    }

    /** Reason why a request may run on certain versions. */
    enum Assignment {
        /** No rollout of the service is known. */
        NO_ROLLOUT(false),
        /** The progress of the rollout is not known yet. */
        PROGRESS_UNKNOWN(false),
        /** The session is active on the new version. */
        SESSION_ON_NEW(true),
        /** The session is active on an old version and stays there for now. */
        SESSION_ON_OLD(false),
        /** The session is in the share of the new version. */
        NEW_SHARE(true),
        /** The session is outside the share of the new version. */
        OLD_SHARE(false),
        /** The rollout has ended. */
        ROLLOUT_ENDED(false);

        private final boolean leavesAfterFailure;

        Assignment(boolean leavesAfterFailure) {
            this.leavesAfterFailure = leavesAfterFailure;
        }

        /** Returns whether a request may run on any version once the preferred one, which is under test, has failed it. */
        boolean leavesAfterFailure() {
            return leavesAfterFailure;
        }
    }

    /**
     * Upstreams that may run a request. Immutable.
     *
     * @param preferred upstreams of the version that the session of the request is assigned to; during a rollout, those of
     *     them that take part in the present stage
     * @param permitted upstreams that may run the request if no preferred one is available
     * @param lastResort upstreams that may run the request if the permitted ones are gone or stay unavailable
     * @param assignment reason of the choice
     * @param share share of the new version that applied, between 0 and 1; 0 without a rollout
     */
    record EligibleUpstreams(
            Predicate<Upstream> preferred,
            Predicate<Upstream> permitted,
            Predicate<Upstream> lastResort,
            Assignment assignment,
            double share) {
        /** Checks the arguments. */
        public EligibleUpstreams {
            Objects.requireNonNull(preferred, "preferred is null");
            Objects.requireNonNull(permitted, "permitted is null");
            Objects.requireNonNull(lastResort, "lastResort is null");
            Objects.requireNonNull(assignment, "assignment is null");
        }
    }
}
