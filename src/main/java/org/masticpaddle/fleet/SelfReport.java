package org.masticpaddle.fleet;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an upstream says of itself in the headers of one response. Immutable.
 *
 * @param load load at the time of the response, empty if it reports none
 * @param requestsPerSecond requests a second that it accepts from all gateways together, empty if it states no limit
 * @param leaving whether it is about to stop and wants no further requests
 * @param notBeforeSeconds time in seconds, from the response on, in which it wants no request of this gateway; empty if it asks
 *     for none, which matters only if the response rejects a request
 * @param keepAliveSeconds keep-alive timeout of the connection in seconds, empty if it announces none
 * @param coldLeftMillis time in milliseconds, from the response on, for which it says that it is cold; empty if it says nothing
 * @param unreadableValues number of values that could not be read and count as absent
 */
public record SelfReport(
        Optional<ReportedLoad> load,
        OptionalDouble requestsPerSecond,
        boolean leaving,
        OptionalDouble notBeforeSeconds,
        OptionalLong keepAliveSeconds,
        OptionalLong coldLeftMillis,
        int unreadableValues) {
    /** Report of an upstream that says nothing of itself. */
    public static final SelfReport NONE = new SelfReport(
            Optional.empty(),
            OptionalDouble.empty(),
            false,
            OptionalDouble.empty(),
            OptionalLong.empty(),
            OptionalLong.empty(),
            0);

    /** Checks the arguments. */
    public SelfReport {
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(requestsPerSecond, "requestsPerSecond is null");
        Objects.requireNonNull(notBeforeSeconds, "notBeforeSeconds is null");
        Objects.requireNonNull(keepAliveSeconds, "keepAliveSeconds is null");
        Objects.requireNonNull(coldLeftMillis, "coldLeftMillis is null");
    }
}
