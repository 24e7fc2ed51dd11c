package org.masticpaddle.membership;

import java.util.Objects;

import org.masticpaddle.wire.LoadReport;

/** What a process learned about an instance other than from the instance list. */
public sealed interface Observation {
    /**
     * An answer or a probe carried a load report.
     *
     * @param report the report
     */
    record Reported(LoadReport report) implements Observation {
        /** Checks the report. */
        public Reported {
            Objects.requireNonNull(report, "report is null");
        }
    }

    /**
     * An answer carried the draining mark.
     *
     * @param incarnation incarnation that drains, 0 if unknown
     */
    record Draining(long incarnation) implements Observation {}

    /**
     * The instance refused work.
     *
     * @param incarnation incarnation that refused, 0 if unknown
     */
    record Rejected(long incarnation) implements Observation {}

    /** A probe or a connection attempt failed. */
    record Unreachable() implements Observation {}
}
