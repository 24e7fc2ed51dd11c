package org.masticpaddle.wire;

import java.util.Objects;

/**
 * What a process has in effect, the answer to {@code GET /internal/process}. Immutable.
 *
 * @param role {@code entry} or {@code sidecar}
 * @param instance identifier of the instance
 * @param ready whether it takes work
 * @param offset offset of the log below which all records are folded, -1 if none
 * @param revision revision of the document in effect, 0 if none
 * @param sinceMillis time from which it is in effect here, in milliseconds since 1970, 0 if none
 * @param tailAgeMillis time since the log was last read to its end, by this process or the one it pulls from; -1 if
 *     never
 */
public record ProcessStatus(
        String role, String instance, boolean ready, long offset, long revision, long sinceMillis, long tailAgeMillis) {
    /** Checks the arguments. */
    public ProcessStatus {
        Objects.requireNonNull(role, "role is null");
        Objects.requireNonNull(instance, "instance is null");
    }
}
