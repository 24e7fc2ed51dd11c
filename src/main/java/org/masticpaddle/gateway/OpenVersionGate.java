package org.masticpaddle.gateway;

import java.util.Optional;
import java.util.function.Predicate;

import org.masticpaddle.fleet.Upstream;

/** Admits every version. Immutable and thread-safe. */
final class OpenVersionGate implements VersionGate {
    @Override
    public Predicate<Upstream> admit(String service, Optional<String> session, String requestId) {
        return upstream -> true;
    }

    @Override
    public void answered(Upstream upstream, String route, boolean sound, double millis, double expectedMillis) {
        // Nothing depends on the answers.
    }
}
