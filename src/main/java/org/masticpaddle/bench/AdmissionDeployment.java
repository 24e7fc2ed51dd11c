package org.masticpaddle.bench;

/** Model service of one of the deployments of docs/design.md, simulated as slots with random service times. */
enum AdmissionDeployment {
    /** Model service of the deployment in region {@code ar-cuyo}. */
    AR_CUYO("ar-cuyo", 8, 16, 1.5, 400),
    /** Model service of the deployment in region {@code pk-central}. */
    PK_CENTRAL("pk-central", 6, 8, 0.8, 250);

    private final String label;
    private final int workers;
    private final int slotsPerWorker;
    private final double meanServiceSeconds;
    private final double meanTokens;

    AdmissionDeployment(String label, int workers, int slotsPerWorker, double meanServiceSeconds, double meanTokens) {
        this.label = label;
        this.workers = workers;
        this.slotsPerWorker = slotsPerWorker;
        this.meanServiceSeconds = meanServiceSeconds;
        this.meanTokens = meanTokens;
    }

    String label() {
        return label;
    }

    int workers() {
        return workers;
    }

    int slotsPerWorker() {
        return slotsPerWorker;
    }

    int slots() {
        return workers * slotsPerWorker;
    }

    double meanTokens() {
        return meanTokens;
    }

    double nanosPerToken() {
        return meanServiceSeconds * 1e9 / meanTokens;
    }

    /** Requests of mean size per second that the pool can serve. */
    double capacity() {
        return slots() / meanServiceSeconds;
    }
}
