package org.masticpaddle.platform;

import java.net.URI;
import java.util.Objects;

/**
 * Entry of the platform's instance list. Immutable and thread-safe.
 *
 * @param id unique identifier of the instance
 * @param service service that the instance belongs to; {@link #ENTRY_SERVICE} for entries
 * @param region region, or {@code null} if the list has none
 * @param failureDomain failure domain, or {@code null} if the list has none
 * @param address address of the masticpaddle process on the instance
 * @param state lifecycle state
 */
public record Instance(String id, String service, String region, String failureDomain, URI address, State state) {
    /** Service name under which entries are listed. */
    public static final String ENTRY_SERVICE = "masticpaddle-entry";

    /** Rejects {@code null} except for the region and the failure domain. */
    public Instance {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(state, "state is null");
    }

    /** Lifecycle state of a listed instance. */
    public enum State {
        /** The instance accepts work. */
        LIVE,
        /** The instance is draining: it accepts no new work and will be removed soon. */
        LEAVING,
        /** The instance was removed. */
        GONE
    }
}
