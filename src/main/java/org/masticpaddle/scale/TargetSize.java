package org.masticpaddle.scale;

/**
 * Size of a deployment for which costs are estimated. Immutable.
 *
 * @param entries number of entries
 * @param workers number of model engines, each with its own sidecar
 * @param requestsPerSecond peak request rate over all entries
 * @param tokensPerSecond peak rate of generated tokens over all engines
 * @param failureDomains number of failure domains
 * @param changesPerDay number of configuration changes a day
 * @param organisations number of organisations in the routing document
 * @param limitedOrganisations number of organisations that have a limit and send requests
 * @param keyedShare share of the requests that carry an idempotency key, 0 to 1
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
    /**
     * Size planned for the next two years. The numbers of organisations and the keyed share are assumptions of the capacity
     * page.
     */
    public static final TargetSize PLANNED = new TargetSize(1_800, 10_000, 54_000, 22e6, 23, 10_000, 400, 20, 0.05);

    double requestsPerSecondPerEntry() {
        return requestsPerSecond / entries;
    }

    double keyedRequestsPerSecond() {
        return requestsPerSecond * keyedShare;
    }
}
