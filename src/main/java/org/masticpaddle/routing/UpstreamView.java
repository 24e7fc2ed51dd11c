package org.masticpaddle.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.masticpaddle.document.VersionName;
import org.masticpaddle.wire.LoadReport;

/**
 * What one entry knows of one upstream: its last report, own dispatches since, marks and failures.
 *
 * <p>Not thread-safe: the duty of the entry owns it.
 */
public final class UpstreamView {
    /** Part of a new latency in the smoothed mean and deviation; larger ones let noise outweigh the load. */
    private static final double SMOOTHING = 0.03;
    /** Deviations above the mean that stand for the tail, about the 95th percentile. */
    private static final double TAIL_DEVIATIONS = 2;

    private final String id;
    private final String region;
    private final String failureDomain;
    private final CircuitBreaker breaker = new CircuitBreaker();
    private int ownAtReport;
    private int outstanding;
    private LoadReport report = new LoadReport(0, false, false, 0, 0, 1, List.of(), 0);
    private Set<VersionName> versions = Set.of();
    private long reportedAt = Long.MIN_VALUE / 2;
    private boolean leaving;
    private double meanMillis;
    private double deviationMillis;

    /**
     * Creates a view of an upstream not heard from yet, which receives no work before its first report.
     *
     * @param id identifier of the instance
     * @param region its region
     * @param failureDomain its failure domain
     */
    public UpstreamView(String id, String region, String failureDomain) {
        this.id = Objects.requireNonNull(id, "id is null");
        this.region = Objects.requireNonNull(region, "region is null");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain is null");
    }

    /**
     * Takes over a report; one that is older than the known report of the same incarnation is ignored.
     *
     * @param newer the report
     * @param at time in milliseconds by the entry's clock at which its figures were true, at the latest
     */
    public void onReport(LoadReport newer, long at) {
        if (newer.incarnation() < report.incarnation()
                || newer.incarnation() == report.incarnation() && at < reportedAt) {
            return;
        }
        if (newer.incarnation() != report.incarnation()) {
            outstanding = 0;
        }
        if (!newer.versions().equals(report.versions())) {
            final Set<VersionName> parsed = new HashSet<>();
            newer.versions().stream()
                    .filter(name -> name.indexOf('/') >= 0)
                    .forEach(name -> parsed.add(VersionName.parse(name)));
            versions = parsed;
        }
        report = newer;
        reportedAt = at;
        ownAtReport = outstanding;
    }

    /**
     * Notes a dispatch of this entry.
     *
     * @param now current time in milliseconds
     */
    public void onDispatch(long now) {
        outstanding++;
        breaker.onSent(now);
    }

    /**
     * Notes the end of a dispatch.
     *
     * @param success whether the upstream answered; a refusal because of load or a cancelled request is no failure
     * @param millis time from dispatch to end
     * @param now current time in milliseconds
     */
    public void onEnd(boolean success, double millis, long now) {
        outstanding = Math.max(0, outstanding - 1);
        if (success) {
            breaker.onSuccess();
            final double difference = millis - meanMillis;
            meanMillis = meanMillis == 0 ? millis : meanMillis + SMOOTHING * difference;
            deviationMillis += SMOOTHING * (Math.abs(difference) - deviationMillis);
        } else {
            breaker.onFailure(now);
        }
    }

    /**
     * Notes the end of a dispatch whose connection was refused.
     *
     * @param now current time in milliseconds
     */
    public void onUnreachable(long now) {
        outstanding = Math.max(0, outstanding - 1);
        breaker.onUnreachable(now);
    }

    /**
     * Sets the mark of the instance list.
     *
     * @param mark whether the instance leaves
     */
    public void setDraining(boolean mark) {
        leaving = mark;
    }

    /**
     * Tells whether new work for a version may be sent.
     *
     * @param version the version
     * @param now current time in milliseconds
     * @return {@code true} if ready, not leaving, not draining, the version is loaded and the circuit allows it
     */
    public boolean accepts(VersionName version, long now) {
        return report.ready() && !report.draining() && !leaving && versions.contains(version) && breaker.allows(now);
    }

    /**
     * Tells whether the upstream reports a version loaded.
     *
     * @param version the version
     * @return {@code true} if it does
     */
    public boolean loaded(VersionName version) {
        return versions.contains(version);
    }

    /**
     * Estimates the attempts of other entries in the last report.
     *
     * @return reported attempts less those that this entry had there at the time of the report
     */
    public int othersAtReport() {
        return Math.max(0, report.running() + report.queued() - ownAtReport);
    }

    /**
     * Estimates the latency tail in excess of the mean.
     *
     * @return time in milliseconds
     */
    public double tailExcessMillis() {
        return TAIL_DEVIATIONS * deviationMillis;
    }

    /**
     * Returns the attempts of this entry that run or wait there.
     *
     * @return number of attempts
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Returns the last report.
     *
     * @return the report; one that is not ready before the first
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
    public long reportAge(long now) {
        return Math.max(0, now - reportedAt);
    }

    /**
     * Returns the identifier.
     *
     * @return identifier of the instance
     */
    public String id() {
        return id;
    }

    /**
     * Returns the region.
     *
     * @return region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the failure domain.
     *
     * @return failure domain
     */
    public String failureDomain() {
        return failureDomain;
    }
}
