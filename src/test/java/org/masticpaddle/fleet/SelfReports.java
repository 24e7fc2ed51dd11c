package org.masticpaddle.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** What upstreams say of themselves, each with one value set. */
public final class SelfReports {
    private SelfReports() {}

    /**
     * Creates a load report without a limit.
     *
     * @param running requests that the upstream processes
     * @param waiting requests in its queue
     * @param slots requests that it can process concurrently
     * @return report with the load only
     */
    public static SelfReport load(int running, int waiting, int slots) {
        return load(running, waiting, slots, OptionalDouble.empty());
    }

    /**
     * Creates a load report with a limit.
     *
     * @param running requests that the upstream processes
     * @param waiting requests in its queue
     * @param slots requests that it can process concurrently
     * @param limit requests a second, empty for none
     * @return report with the load and the limit
     */
    public static SelfReport load(int running, int waiting, int slots, OptionalDouble limit) {
        return new SelfReport(
                Optional.of(new ReportedLoad(running, waiting, slots)),
                limit,
                false,
                OptionalDouble.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0);
    }

    /**
     * Creates a report of an idle upstream with its work factor.
     *
     * @param workFactor time that work takes, relative to the usual time
     * @return report with the load and the factor
     */
    public static SelfReport workFactor(double workFactor) {
        return workFactor(0, 0, 8, OptionalDouble.of(workFactor));
    }

    /**
     * Creates a load report with or without a work factor.
     *
     * @param running requests that the upstream processes
     * @param waiting requests in its queue
     * @param slots requests that it can process concurrently
     * @param workFactor time that work takes, relative to the usual time; empty if it reports none
     * @return report with the load and the factor
     */
    public static SelfReport workFactor(int running, int waiting, int slots, OptionalDouble workFactor) {
        return new SelfReport(
                Optional.of(new ReportedLoad(running, waiting, slots, workFactor)),
                OptionalDouble.empty(),
                false,
                OptionalDouble.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0);
    }

    /**
     * Creates a report that asks for a pause.
     *
     * @param leaving whether the upstream is about to stop
     * @param seconds time in which no request is to be sent
     * @return report without a load
     */
    public static SelfReport pause(boolean leaving, double seconds) {
        return new SelfReport(
                Optional.empty(),
                OptionalDouble.empty(),
                leaving,
                OptionalDouble.of(seconds),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0);
    }

    /**
     * Creates a report that says for how long the upstream is cold.
     *
     * @param leftMillis time for which it is cold in milliseconds
     * @return report without a load
     */
    public static SelfReport cold(long leftMillis) {
        return new SelfReport(
                Optional.empty(),
                OptionalDouble.empty(),
                false,
                OptionalDouble.empty(),
                OptionalLong.empty(),
                OptionalLong.of(leftMillis),
                0);
    }
}
