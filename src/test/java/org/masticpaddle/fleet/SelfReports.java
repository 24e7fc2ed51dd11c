package org.masticpaddle.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** What upstreams say of themselves, each with one value set. */
public final class SelfReports {
    private SelfReports() {}

    /** Returns a load report without a limit. */
    public static SelfReport load(int running, int waiting, int slots) {
        return load(running, waiting, slots, OptionalDouble.empty());
    }

    /** Returns a load report with a limit in requests a second, if there is one. */
    public static SelfReport load(int running, int waiting, int slots, OptionalDouble limit) {
        return new SelfReport(
                Optional.of(new ReportedLoad(running, waiting, slots)),
                limit,
                false,
                OptionalDouble.empty(),
                OptionalLong.empty(),
                0);
    }

    /** Returns the wish for a pause, and whether the upstream leaves. */
    public static SelfReport pause(boolean leaving, double seconds) {
        return new SelfReport(
                Optional.empty(), OptionalDouble.empty(), leaving, OptionalDouble.of(seconds), OptionalLong.empty(), 0);
    }
}
