package org.masticpaddle.scale;

/**
 * Size that the design is meant for. Immutable.
 *
 * @param entries entries
 * @param workers sidecars of model workers
 * @param requestsPerSecond requests a second at the peak
 * @param tokensPerSecond generated tokens a second at the peak
 * @param failureDomains failure domains
 * @param changesPerDay configuration changes a day
 * @param organisations organisations
 * @param limitedOrganisations organisations that have a limit and use it
 * @param keyedShare share of the requests that carry an idempotency key
 */
public record TargetSize(
        int entries,
        int workers,
        double requestsPerSecond,
        double tokensPerSecond,
        int failureDomains,
        double changesPerDay,
        int organisations,
        int limitedOrganisations,
        double keyedShare) {
    /** The size of the next two years; organisations and the keyed share are assumptions of the capacity page. */
    public static final TargetSize PLANNED = new TargetSize(1_800, 10_000, 54_000, 22e6, 23, 10_000, 400, 20, 0.05);

    double requestsPerEntry() {
        return requestsPerSecond / entries;
    }

    double keyedPerSecond() {
        return requestsPerSecond * keyedShare;
    }
}
