package org.masticpaddle.bench;

import java.util.List;

/**
 * Numbers and names of the processes of a deployment that runs on this machine. Immutable.
 *
 * @param region name of the region
 * @param failureDomains failure domains of the region
 * @param modelService name of the model service
 * @param workers number of model workers, each with an engine and a sidecar
 * @param plainService name of the plain service
 * @param plainWorkers number of upstreams of the plain service
 * @param entries number of entries
 * @param slots requests that one engine runs at the same time
 * @param timeScale factor on the times of the engines; 0.1 runs ten times as fast as real ones
 */
public record Deployment(
        String region,
        List<String> failureDomains,
        String modelService,
        int workers,
        String plainService,
        int plainWorkers,
        int entries,
        int slots,
        double timeScale) {
    /** Copies the failure domains. */
    public Deployment {
        failureDomains = List.copyOf(failureDomains);
    }

    /**
     * Returns the deployment of docs/design.md in region {@code ar-cuyo}.
     *
     * @param timeScale factor on the times of the engines, as in the constructor
     * @return deployment with 3 entries and 3 upstreams of the plain service
     */
    public static Deployment arCuyo(double timeScale) {
        return new Deployment(
                "ar-cuyo", List.of("cuyo-a", "cuyo-b", "cuyo-c"), "mastic-llm", 8, "booking-app", 3, 3, 16, timeScale);
    }

    /**
     * Returns the deployment of docs/design.md in region {@code pk-central}.
     *
     * @param timeScale factor on the times of the engines, as in the constructor
     * @return deployment with 3 entries and 3 upstreams of the plain service
     */
    public static Deployment pkCentral(double timeScale) {
        return new Deployment(
                "pk-central",
                List.of("pk-lahore", "pk-faisalabad", "pk-multan"),
                "mastic-fleet",
                6,
                "booking-app",
                3,
                3,
                8,
                timeScale);
    }

    String failureDomain(int index) {
        return failureDomains.get(index % failureDomains.size());
    }
}
