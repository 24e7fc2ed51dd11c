package org.masticpaddle.document;

import java.util.Objects;

/**
 * The document in effect in this process. Immutable and thread-safe.
 *
 * @param document the document
 * @param offset offset of the log below which all records are folded
 * @param revision number of accepted edits
 * @param sinceMillis time from which this revision is in effect here, in milliseconds since 1970
 */
public record EffectiveConfiguration(RoutingDocument document, long offset, long revision, long sinceMillis) {
    /** Checks the arguments. */
    public EffectiveConfiguration {
        Objects.requireNonNull(document, "document is null");
    }
}
