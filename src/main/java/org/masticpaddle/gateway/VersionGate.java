package org.masticpaddle.gateway;

import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/** Says on which versions of a service a request may run, and learns how they answer. Used on the event loop only. */
interface VersionGate {
    /**
     * Decides on the versions for one request. The decision holds for all of its attempts.
     *
     * @param service name of the service
     * @param session session of the request
     * @param requestId identifier of the request
     * @return which upstreams may run it
     */
    Predicate<Upstream> admit(String service, Optional<String> session, String requestId);

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
}
