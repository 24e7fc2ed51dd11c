package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/** Says on which versions of a service a request may run, and learns how they answer. Used on the event loop only. */
interface VersionRouter {
    /**
     * Decides on the versions for one request. The decision holds for all of its attempts.
     *
     * @param service name of the service
     * @param session session of the request
     * @param requestId identifier of the request
     * @return which upstreams may run it
     */
    Admission admit(String service, Optional<String> session, String requestId);

    /**
     * Learns of an answer.
     *
     * @param upstream the upstream that ran the request
     * @param route name of the request's route
     * @param sound whether it is no failure
     * @param millis time to its beginning
     * @param expectedMillis time that was expected
     */
    void answered(Upstream upstream, String route, boolean sound, double millis, double expectedMillis);

    /**
     * Which upstreams may run a request. Immutable.
     *
     * @param preferred upstreams of the version that the request's session is on
     * @param permitted upstreams that may run it while none of the preferred can
     */
    record Admission(Predicate<Upstream> preferred, Predicate<Upstream> permitted) {
        /** Every version. */
        static final Admission ALL = new Admission(upstream -> true, upstream -> true);

        /** Checks the arguments. */
        public Admission {
            Objects.requireNonNull(preferred, "preferred is null");
            Objects.requireNonNull(permitted, "permitted is null");
        }
    }
}
