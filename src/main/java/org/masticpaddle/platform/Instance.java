package org.masticpaddle.platform;

import java.net.URI;
import java.util.Objects;

/**
 * One row of the platform's instance list. Immutable and thread-safe.
 *
 * @param id identifier of the instance
 * @param service service that it belongs to; {@code masticpaddle-entry} for entries
 * @param region region
 * @param failureDomain failure domain
 * @param address address of the masticpaddle process on it
 * @param state whether it is live
 */
public record Instance(String id, String service, String region, String failureDomain, URI address, State state) {
    /** Service name of the entries. */
    public static final String ENTRY_SERVICE = "masticpaddle-entry";

    /** Checks the arguments. */
    public Instance {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(state, "state is null");
    }

    /** State of an instance in the list. */
    public enum State {
        /** It takes work. */
        LIVE,
        /** It goes away soon and takes no new work. */
        LEAVING,
        /** It is gone. */
        GONE
    }
}
