package org.masticpaddle.wire;

import java.util.Objects;

/**
 * Status of a process and of its routing document, the response to {@code GET /internal/process}. Immutable.
 *
 * @param role {@code entry} or {@code sidecar}
 * @param instance identifier of the instance
 * @param ready whether the process accepts requests
 * @param offset log offset below which all records have been applied, -1 if none
 * @param revision revision of the routing document in effect, 0 if none
 * @param sinceMillis time at which this revision took effect in the process, in milliseconds since 1970; 0 if none
 * @param tailAgeMillis milliseconds since the log was last read to its end, by this process or by the one from which it
 *     pulls the document; -1 if never
 */
public record ProcessStatus(
        String role, String instance, boolean ready, long offset, long revision, long sinceMillis, long tailAgeMillis) {
    /** Checks the arguments. */
    public ProcessStatus {
        Objects.requireNonNull(role, "role is null");
        Objects.requireNonNull(instance, "instance is null");
    }
}
