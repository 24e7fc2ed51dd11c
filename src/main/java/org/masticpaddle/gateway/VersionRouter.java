package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/**
 * Chooses the versions of a service that a request may run on and records the outcomes of attempts. Used on the event loop
 * only.
 */
interface VersionRouter {
    /**
     * Chooses the upstreams that may run a request by their version. The choice applies to all attempts of the request.
     *
     * @param service name of the service
     * @param session session of the request, empty if it belongs to none
     * @param requestId identifier of the request, used in place of an absent session
     * @return the eligible upstreams
     */
    EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId);

    /**
     * Records the outcome of an attempt that may have run.
     *
     * @param outcome outcome of the attempt
     */
    void recordOutcome(Outcome outcome);

    /**
     * Outcome of an attempt. Immutable.
     *
     * @param requestId identifier of the request
     * @param upstream the upstream that ran the request
     * @param route name of the request's route
     * @param successful whether the upstream answered without a failure of its own
     * @param millis time from sending the request to the outcome, in milliseconds; for streams to the response head
     * @param expectedMillis expected time to the beginning of the answer, in milliseconds
     */
    record Outcome(
            String requestId,
            Upstream upstream,
            String route,
            boolean successful,
            double millis,
            double expectedMillis) {
        /** Checks the arguments. */
        public Outcome {
            Objects.requireNonNull(requestId, "requestId is null");
            Objects.requireNonNull(upstream, "upstream is null");
            Objects.requireNonNull(route, "route is null");
        }
    }

    /** Reason why a request may run on certain versions. */
    enum Assignment {
        /** No rollout of the service is known. */
        NO_ROLLOUT,
        /** The progress of the rollout is not known yet. */
        PROGRESS_UNKNOWN,
        /** The session is in the share of the new version. */
        NEW_SHARE,
        /** The session is outside the share of the new version. */
        OLD_SHARE,
        /** The rollout has ended. */
        ROLLOUT_ENDED
    }

    /**
     * Upstreams that may run a request. Immutable.
     *
     * @param preferred upstreams of the version that the session of the request is assigned to
     * @param permitted upstreams that may run the request if no preferred one is available
     * @param assignment reason of the choice
     * @param share share of the new version that applied, between 0 and 1; 0 without a rollout
     */
    record EligibleUpstreams(
            Predicate<Upstream> preferred, Predicate<Upstream> permitted, Assignment assignment, double share) {
        /** All versions are preferred. */
        static final EligibleUpstreams ALL =
                new EligibleUpstreams(upstream -> true, upstream -> true, Assignment.NO_ROLLOUT, 0);

        /** Checks the arguments. */
        public EligibleUpstreams {
            Objects.requireNonNull(preferred, "preferred is null");
            Objects.requireNonNull(permitted, "permitted is null");
            Objects.requireNonNull(assignment, "assignment is null");
        }
    }
}
