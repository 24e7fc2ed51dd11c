package org.masticpaddle.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.wire.LoadReport;

/**
 * State that one entry keeps about one upstream: its last load report, the outstanding attempts of this entry, its
 * state in the instance list and a circuit breaker.
 *
 * <p>Not thread-safe: confined to the duty of the entry.
 */
public final class UpstreamView {
    /** Weight of a new latency in the moving mean and deviation. With a larger weight, noise hides the effect of load. */
    private static final double LATENCY_SMOOTHING_FACTOR = 0.03;
    /** Number of mean absolute deviations above the mean that approximates the 95th percentile of the latency. */
    private static final double TAIL_DEVIATIONS = 2;

    private final String id;
    private final String region;
    private final String failureDomain;
    private final CircuitBreaker circuitBreaker = new CircuitBreaker();
    private int outstandingAtReport;
    private int outstanding;
    private LoadReport report = new LoadReport(0, false, false, 0, 0, 1, List.of(), 0);
    private Set<VersionName> versions = Set.of();
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private boolean listedAsDraining;
    private double meanLatencyMillis;
    private double latencyDeviationMillis;

    /**
     * Creates a view of an upstream that has not reported yet and accepts no requests until its first report.
     *
     * @param id identifier of the instance
     * @param region region of the instance
     * @param failureDomain failure domain of the instance
     */
    public UpstreamView(String id, String region, String failureDomain) {
        this.id = Objects.requireNonNull(id, "id is null");
        this.region = Objects.requireNonNull(region, "region is null");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
    }

    /**
     * Records a load report. A report of an earlier incarnation, and one of the same incarnation that is older than the
     * last one, is ignored; the first report of a later incarnation resets the outstanding attempts.
     *
     * @param newer load report
     * @param atMillis latest time, in milliseconds by the entry's clock, at which the reported load may have been
     *     measured
     */
    public void onReport(LoadReport newer, long atMillis) {
        if (newer.incarnation() < report.incarnation()
                || newer.incarnation() == report.incarnation() && atMillis < reportedAtMillis) {
            return;
        }
        if (newer.incarnation() != report.incarnation()) {
            outstanding = 0;
        }
        if (!newer.versions().equals(report.versions())) {
            final Set<VersionName> parsedVersions = new HashSet<>();
            newer.versions().stream()
                    .filter(name -> name.indexOf('/') >= 0)
                    .forEach(name -> parsedVersions.add(VersionName.parse(name)));
            versions = parsedVersions;
        }
        report = newer;
        reportedAtMillis = atMillis;
        outstandingAtReport = outstanding;
    }

    /**
     * Records a dispatch of this entry.
     *
     * @param now current time in milliseconds
     */
    public void onDispatch(long now) {
        outstanding++;
        circuitBreaker.onSent(now);
    }

    /**
     * Records the end of a dispatch.
     *
     * @param success whether the upstream answered; a rejection because of load and a cancelled request are not
     *     failures
     * @param millis time from dispatch to end in milliseconds
     * @param now current time in milliseconds
     */
    public void onEnd(boolean success, double millis, long now) {
        outstanding = Math.max(0, outstanding - 1);
        if (success) {
            circuitBreaker.onSuccess();
            final double difference = millis - meanLatencyMillis;
            meanLatencyMillis =
                    meanLatencyMillis == 0 ? millis : meanLatencyMillis + LATENCY_SMOOTHING_FACTOR * difference;
            latencyDeviationMillis += LATENCY_SMOOTHING_FACTOR * (Math.abs(difference) - latencyDeviationMillis);
        } else {
            circuitBreaker.onFailure(now);
        }
    }

    /**
     * Records the end of a dispatch whose connection was refused.
     *
     * @param now current time in milliseconds
     */
    public void onUnreachable(long now) {
        outstanding = Math.max(0, outstanding - 1);
        circuitBreaker.onUnreachable(now);
    }

    /**
     * Sets whether the instance list marks the instance as draining or removed.
     *
     * @param draining {@code true} if the instance accepts no new requests
     */
    public void setDraining(boolean draining) {
        listedAsDraining = draining;
    }

    /**
     * Returns whether a new request for a version may be sent.
     *
     * @param version name of the version
     * @param now current time in milliseconds
     * @return {@code true} if the upstream is ready, does not drain by its report or by the instance list, has the
     *     version loaded, and the circuit allows a request
     */
    public boolean accepts(VersionName version, long now) {
        return report.ready()
                && !report.draining()
                && !listedAsDraining
                && versions.contains(version)
                && circuitBreaker.allows(now);
    }

    /**
     * Returns whether the last report lists a version as loaded.
     *
     * @param version name of the version
     * @return {@code true} if the version is loaded
     */
    public boolean loaded(VersionName version) {
        return versions.contains(version);
    }

    /**
     * Estimates the attempts of other entries at the time of the last report.
     *
     * @return number of reported attempts less the outstanding ones of this entry at that time, at least 0
     */
    public int outstandingOfOthersAtReport() {
        return Math.max(0, report.running() + report.queued() - outstandingAtReport);
    }

    /**
     * Estimates the excess of the tail latency over the mean.
     *
     * @return excess in milliseconds
     */
    public double tailExcessMillis() {
        return TAIL_DEVIATIONS * latencyDeviationMillis;
    }

    /**
     * Returns the number of attempts of this entry that run or wait at the upstream.
     *
     * @return number of outstanding attempts
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Returns the last report.
     *
     * @return last load report, or one that is not ready if there was none
     */
    public LoadReport report() {
        return report;
    }

    /**
     * Returns the age of the last report.
     *
     * @param now current time in milliseconds
     * @return age in milliseconds, at least 0
     */
    public long reportAgeMillis(long now) {
        return Math.max(0, now - reportedAtMillis);
    }

    /**
     * Returns the identifier of the instance.
     *
     * @return identifier of the instance
     */
    public String id() {
        return id;
    }

    /**
     * Returns the region of the instance.
     *
     * @return name of the region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the failure domain of the instance.
     *
     * @return name of the failure domain
     */
    public String failureDomain() {
        return failureDomain;
    }
}
