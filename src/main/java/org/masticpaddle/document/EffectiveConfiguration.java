package org.masticpaddle.document;

import java.util.Objects;

/**
 * The document in effect in this process. Immutable and thread-safe.
 *
 * @param document checked declarations of all teams at this revision
 * @param offset offset of the log below which all records have been applied
 * @param revision number of accepted edits
 * @param sinceMillis time at which this revision took effect in this process, in milliseconds since 1970
 */
public record EffectiveConfiguration(RoutingDocument document, long offset, long revision, long sinceMillis) {
    /** Checks the arguments. */
    public EffectiveConfiguration {
        Objects.requireNonNull(document, "document is null");
    }
}
