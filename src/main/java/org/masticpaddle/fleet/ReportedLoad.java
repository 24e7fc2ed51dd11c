package org.masticpaddle.fleet;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Load that an upstream reports in the headers of its responses. Immutable.
 *
 * @param running requests that the upstream processes
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently; 0 if unknown
 * @param workFactor time that work takes there at the moment of the response, relative to the usual time; above 0, lower is
 *     faster, empty if it reports none
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalDouble workFactor) {
    /** Checks the argument. */
    public ReportedLoad {
        Objects.requireNonNull(workFactor, "workFactor is null");
    }

    /**
     * Creates a load of an upstream that reports no work factor.
     *
     * @param running requests that the upstream processes
     * @param waiting requests in its queue
     * @param slots requests that it can process concurrently; 0 if unknown
     */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalDouble.empty());
    }
}
