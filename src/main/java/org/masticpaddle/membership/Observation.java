package org.masticpaddle.membership;

import java.util.Objects;

import org.masticpaddle.wire.LoadReport;

/** Information about an instance that does not come from the instance list. Immutable and thread-safe. */
public sealed interface Observation {
    /**
     * A response or a probe returned a load report.
     *
     * @param report load report of the instance
     */
    record Reported(LoadReport report) implements Observation {
        /** Checks the report. */
        public Reported {
            Objects.requireNonNull(report, "report is null");
        }
    }

    /**
     * A response was marked as sent by a draining instance.
     *
     * @param incarnation incarnation that is draining, 0 if unknown
     */
    record Draining(long incarnation) implements Observation {}

    /**
     * The instance rejected a request.
     *
     * @param incarnation incarnation that rejected the request, 0 if unknown
     */
    record Rejected(long incarnation) implements Observation {}

    /** A probe or a connection attempt failed. */
    record Unreachable() implements Observation {}
}
