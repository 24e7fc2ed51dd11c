package org.masticpaddle.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * All that one gateway knows first hand about crashes, as gateways exchange it through the log. Immutable.
 *
 * @param crashes crashes that the gateway has seen, oldest first
 * @param clearances segments of crashes reported by others that the gateway has seen to be harmless, oldest first
 */
public record GatewayReport(List<CrashReport> crashes, List<Clearance> clearances) {
    /** Report of a gateway that has seen nothing. */
    public static final GatewayReport EMPTY = new GatewayReport(List.of(), List.of());

    /** Checks the arguments and copies the lists. */
    public GatewayReport {
        crashes = List.copyOf(Objects.requireNonNull(crashes, "crashes is null"));
        clearances = List.copyOf(Objects.requireNonNull(clearances, "clearances is null"));
    }

    /**
     * Returns whether there is nothing to report.
     *
     * @return {@code true} without crashes and clearances
     */
    public boolean empty() {
        return crashes.isEmpty() && clearances.isEmpty();
    }

    // Written out, since the first use of the generated methods spins classes, which delays the first request of a
    // process.
    @Override
    public boolean equals(Object other) {
        return other instanceof GatewayReport report
                && crashes.equals(report.crashes)
                && clearances.equals(report.clearances);
    }

    @Override
    public int hashCode() {
        return 31 * crashes.hashCode() + clearances.hashCode();
    }
}
