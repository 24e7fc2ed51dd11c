package org.masticpaddle.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests may run although an upstream that begins to answer them may crash.
 *
 * <p>A crash is attributed to a segment that was in use by an answer that had just begun. A first crash makes the segment
 * suspected: one request at a time tries it, at the gateway that reported the crash. From the second crash on it is
 * quarantined: requests with it are rejected, apart from a trial after a backoff that doubles with each crash. If several
 * segments were in use at the same crashes, a request with only some of them is a trial at once. An answer that goes on clears
 * its segments.
 *
 * <p>Invariants: a segment with an answer that went on a short time ago is not suspected; only the segment is restricted,
 * not the caller, the route or the other segments of the prompt; the memory is bounded by the limits of the reports and of the
 * history. Performs no input or output. Times are in milliseconds since 1970, by the clock of the gateway. Not thread-safe:
 * used on the owner's thread only.
 */
public final class SegmentQuarantine {
    /** Time for which a crash counts as evidence. */
    public static final long EVIDENCE_MILLIS = 300_000;
    /** Maximum number of crashes in the report of a gateway; the oldest are dropped. */
    static final int MAX_CRASHES = 32;
    /** Maximum number of clearances in the report of a gateway; the oldest are dropped. */
    static final int MAX_CLEARANCES = 64;
    /** Maximum number of segments in the report of one crash. */
    static final int MAX_SEGMENTS = 16;

    private final String gateway;
    private final CrashEvidence evidence = new CrashEvidence();
    private final SegmentHistory history = new SegmentHistory();
    private final AbandonedAnswers abandonedAnswers = new AbandonedAnswers();
    private final Map<String, CrashReport> ownCrashes = new LinkedHashMap<>();
    private final Set<String> unconfirmedCrashes = new HashSet<>();
    private final List<Clearance> ownClearances = new ArrayList<>();
    private final Map<SegmentKey, Object> trials = new HashMap<>();
    private Map<SegmentKey, Suspicion> suspicions = Map.of();
    private GatewayReport published = GatewayReport.EMPTY;

    /**
     * Creates a quarantine without suspicions.
     *
     * @param gateway name of this gateway, under which it publishes its report
     */
    public SegmentQuarantine(String gateway) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
    }

    /**
     * Decides whether an attempt may start.
     *
     * @param service name of the service
     * @param segments segments of the prompt that other requests may share
     * @param requester identity of the request, which holds its trials
     * @param nowMillis current time
     * @return the most restrictive admission of all segments
     */
    public Admission admit(String service, Collection<String> segments, Object requester, long nowMillis) {
        Admission strictest = Admission.ALLOWED;
        if (suspicions.isEmpty()) {
            return strictest;
        }
        for (final String segment : segments) {
            final Admission admission = admit(new SegmentKey(service, segment), segments, requester, nowMillis);
            if (admission.outcome().compareTo(strictest.outcome()) > 0) {
                strictest = admission;
            }
        }
        return strictest;
    }

    private Admission admit(SegmentKey key, Collection<String> segments, Object requester, long nowMillis) {
        final Suspicion suspicion = suspicions.get(key);
        if (suspicion == null) {
            return Admission.ALLOWED;
        }
        final boolean restricted = nowMillis < suspicion.untilMillis();
        if (!suspicion.quarantined() && !restricted) {
            return Admission.ALLOWED;
        }
        final boolean discriminates = suspicion.quarantined() && suspicion.discriminatedBy(segments);
        final boolean due = !suspicion.quarantined() || discriminates || !restricted;
        final boolean ownTurn = suspicion.owner().equals(gateway)
                || discriminates && nowMillis >= suspicion.lastMillis() + Suspicion.SUSPICION_MILLIS;
        final Admission.Outcome outcome;
        if (due && ownTurn && trials.getOrDefault(key, requester) == requester) {
            outcome = Admission.Outcome.TRIAL;
        } else if (suspicion.quarantined() && !discriminates) {
            outcome = Admission.Outcome.REJECTED;
        } else {
            outcome = Admission.Outcome.HELD;
        }
        return new Admission(outcome, key.segment(), suspicion.crashes(), suspicion.untilMillis());
    }

    /**
     * Records that a request tries the suspected segments of its prompt.
     *
     * @param service name of the service
     * @param segments segments of the prompt that other requests may share
     * @param requester identity of the request
     */
    public void beginTrial(String service, Collection<String> segments, Object requester) {
        segments.stream()
                .map(segment -> new SegmentKey(service, segment))
                .filter(suspicions::containsKey)
                .forEach(key -> trials.putIfAbsent(key, requester));
    }

    /**
     * Records that a request no longer tries any segment.
     *
     * @param requester identity of the request
     */
    public void endTrial(Object requester) {
        trials.values().removeIf(holder -> holder == requester);
    }

    /**
     * Records that an answer has gone on after its beginning, which clears its segments.
     *
     * @param service name of the service
     * @param segments segments of the prompt that other requests may share
     * @param nowMillis current time
     */
    public void recordProgress(String service, Collection<String> segments, long nowMillis) {
        boolean cleared = false;
        for (final String segment : segments) {
            final SegmentKey key = new SegmentKey(service, segment);
            history.recordProgress(key, nowMillis);
            cleared |= clear(key);
        }
        if (cleared) {
            update();
        }
    }

    /**
     * Withdraws a segment from the own reports and clears it from those of other gateways.
     *
     * @return whether the segment was in a report
     */
    private boolean clear(SegmentKey key) {
        boolean cleared = false;
        for (final CrashReport crash : List.copyOf(ownCrashes.values())) {
            if (crash.service().equals(key.service()) && crash.segments().contains(key.segment())) {
                withdraw(crash, key.segment());
                cleared = true;
            }
        }
        return cleared | addClearances(evidence.reportsOf(key, gateway));
    }

    private void withdraw(CrashReport crash, String segment) {
        final Set<String> others = new HashSet<>(crash.segments());
        others.remove(segment);
        if (others.isEmpty()) {
            ownCrashes.remove(crash.upstream());
            unconfirmedCrashes.remove(crash.upstream());
        } else {
            ownCrashes.put(
                    crash.upstream(), new CrashReport(crash.service(), crash.upstream(), crash.millis(), others));
        }
    }

    private boolean addClearances(List<Clearance> clearances) {
        final List<Clearance> added = clearances.stream()
                .filter(clearance -> !ownClearances.contains(clearance) && !evidence.clearedByOther(clearance, gateway))
                .toList();
        return ownClearances.addAll(added);
    }

    /**
     * Records that this gateway gave up an answer that had just begun.
     *
     * @param upstream identifier and incarnation of the upstream
     * @param segments segments of the prompt that other requests may share
     * @param nowMillis current time
     */
    public void recordAbandoned(String upstream, Set<String> segments, long nowMillis) {
        abandonedAnswers.add(upstream, segments, nowMillis);
    }

    /**
     * Records that the connection to an upstream broke before an answer was complete. The loss is unconfirmed until {@link
     * #confirmLoss}: the upstream may have closed this connection only.
     *
     * @param service name of the service
     * @param upstream identifier and incarnation of the upstream
     * @param justBegun segments of the prompt if its answer had just begun, empty otherwise
     * @param nowMillis current time
     * @return segments that may have caused a crash, without those that are known to be harmless
     */
    public Set<String> recordLoss(String service, String upstream, Set<String> justBegun, long nowMillis) {
        final Set<String> candidates = abandonedAnswers.take(upstream, nowMillis);
        candidates.addAll(justBegun);
        candidates.removeIf(segment -> history.established(new SegmentKey(service, segment), nowMillis));
        if (candidates.isEmpty()) {
            return Set.of();
        }
        final CrashReport known = ownCrashes.get(upstream);
        final Set<String> segments = new HashSet<>(known == null ? Set.of() : known.segments());
        candidates.stream().limit(Math.max(0, MAX_SEGMENTS - segments.size())).forEach(segments::add);
        ownCrashes.put(
                upstream, new CrashReport(service, upstream, known == null ? nowMillis : known.millis(), segments));
        if (known == null) {
            unconfirmedCrashes.add(upstream);
        }
        while (ownCrashes.size() > MAX_CRASHES) {
            ownCrashes.remove(ownCrashes.keySet().iterator().next());
        }
        update();
        return Set.copyOf(candidates);
    }

    /**
     * Returns whether it is still to be found out if an upstream was lost.
     *
     * @param upstream identifier and incarnation of the upstream
     * @return {@code true} between {@link #recordLoss} and the confirmation or retraction
     */
    public boolean unconfirmed(String upstream) {
        return unconfirmedCrashes.contains(upstream);
    }

    /**
     * Records that an upstream was lost.
     *
     * @param upstream identifier and incarnation of the upstream
     */
    public void confirmLoss(String upstream) {
        unconfirmedCrashes.remove(upstream);
    }

    /**
     * Records that an upstream is still there, so that only a connection broke.
     *
     * @param upstream identifier and incarnation of the upstream
     */
    public void retractLoss(String upstream) {
        unconfirmedCrashes.remove(upstream);
        if (ownCrashes.remove(upstream) != null) {
            update();
        }
    }

    /**
     * Replaces the report of another gateway. Clears the reported segments that are known here to be harmless.
     *
     * @param otherGateway name of the gateway
     * @param report newest report of the gateway
     * @param nowMillis current time
     */
    public void mergeReport(String otherGateway, GatewayReport report, long nowMillis) {
        evidence.put(otherGateway, report);
        ownClearances.removeIf(clearance -> report.clearances().contains(clearance)
                && !published.clearances().contains(clearance));
        report.crashes()
                .forEach(crash -> addClearances(crash.segments().stream()
                        .filter(segment -> history.established(new SegmentKey(crash.service(), segment), nowMillis))
                        .map(segment -> new Clearance(crash.service(), segment, crash.upstream()))
                        .toList()));
        update();
    }

    /**
     * Takes over the report that this gateway published before it was restarted.
     *
     * @param report last report under the name of this gateway
     */
    public void restoreReport(GatewayReport report) {
        report.crashes().forEach(crash -> ownCrashes.putIfAbsent(crash.upstream(), crash));
        ownClearances.addAll(report.clearances());
        published = report;
        update();
    }

    /**
     * Returns what this gateway has to report, if that has changed since the last publication.
     *
     * @return own report with the confirmed crashes, empty if it was published already
     */
    public Optional<GatewayReport> unpublishedReport() {
        final GatewayReport report = new GatewayReport(
                ownCrashes.values().stream()
                        .filter(crash -> !unconfirmedCrashes.contains(crash.upstream()))
                        .toList(),
                ownClearances);
        return report.equals(published) ? Optional.empty() : Optional.of(report);
    }

    /**
     * Returns whether the other gateways do not know of a crash yet.
     *
     * @return {@code true} if a confirmed crash is not in the published report
     */
    public boolean hasUnpublishedCrash() {
        return ownCrashes.values().stream()
                .anyMatch(crash -> !unconfirmedCrashes.contains(crash.upstream())
                        && !published.crashes().contains(crash));
    }

    /**
     * Records that the other gateways can read a report.
     *
     * @param report report returned by {@link #unpublishedReport}
     */
    public void recordPublished(GatewayReport report) {
        published = Objects.requireNonNull(report, "report is null");
    }

    /**
     * Forgets evidence that is too old. Called periodically.
     *
     * @param nowMillis current time
     */
    public void expire(long nowMillis) {
        abandonedAnswers.expire(nowMillis);
        if (evidence.empty()) {
            return;
        }
        final long oldestMillis = nowMillis - EVIDENCE_MILLIS;
        ownCrashes.values().removeIf(crash -> crash.millis() < oldestMillis);
        evidence.expire(oldestMillis);
        ownClearances.retainAll(evidence.report(gateway).clearances());
        update();
    }

    /**
     * Returns the segments that are suspected now, by the crashes attributed to them.
     *
     * @return suspicions, those whose restriction has ended included
     */
    public Map<SegmentKey, Suspicion> suspicions() {
        return suspicions;
    }

    /**
     * Returns the suspicion of a segment.
     *
     * @param key the segment
     * @return suspicion, empty if no crash is attributed to the segment
     */
    public Optional<Suspicion> suspicion(SegmentKey key) {
        return Optional.ofNullable(suspicions.get(key));
    }

    private void update() {
        while (ownClearances.size() > MAX_CLEARANCES) {
            ownClearances.remove(0);
        }
        evidence.put(gateway, new GatewayReport(List.copyOf(ownCrashes.values()), ownClearances));
        suspicions = evidence.suspicions();
    }
}
