package org.masticpaddle.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Merges the crash reports of all gateways and attributes each crash to the segment that explains most crashes.
 *
 * <p>Many harmless segments are in use when an upstream crashes, and those of requests that are repeated may be in use at
 * several crashes. The segment that causes the crashes is in use at each of them. So the segment with most crashes is made
 * responsible first, and its crashes count against no other segment.
 *
 * <p>Invariants: the result depends on the reports alone, not on the order in which they arrive; a crash is attributed to
 * several segments only if they were in use at the same crashes. Not thread-safe: confined to the thread of its owner.
 */
final class CrashEvidence {
    private final Map<String, GatewayReport> reports = new TreeMap<>();

    /** Replaces the report of a gateway. */
    void put(String gateway, GatewayReport report) {
        if (report.empty()) {
            reports.remove(gateway);
        } else {
            reports.put(gateway, report);
        }
    }

    /** Returns the report of a gateway, an empty one if there is none. */
    GatewayReport report(String gateway) {
        return reports.getOrDefault(gateway, GatewayReport.EMPTY);
    }

    /** Removes the reports of crashes before a time, and the clearances that belong to them. */
    void expire(long beforeMillis) {
        reports.replaceAll((gateway, report) -> new GatewayReport(
                report.crashes().stream()
                        .filter(crash -> crash.millis() >= beforeMillis)
                        .toList(),
                report.clearances()));
        final Set<String> remaining = new HashSet<>();
        reports.values().forEach(report -> report.crashes().forEach(crash -> remaining.add(crash.upstream())));
        reports.replaceAll((gateway, report) -> new GatewayReport(
                report.crashes(),
                report.clearances().stream()
                        .filter(clearance -> remaining.contains(clearance.upstream()))
                        .toList()));
        reports.values().removeIf(GatewayReport::empty);
    }

    /** Returns whether no gateway has reported anything. */
    boolean empty() {
        return reports.isEmpty();
    }

    /** Returns, as clearances, the crashes for which gateways other than the given one have reported a segment. */
    List<Clearance> reportsOf(SegmentKey key, String gateway) {
        return reports.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(gateway))
                .flatMap(entry -> entry.getValue().crashes().stream())
                .filter(crash -> crash.service().equals(key.service())
                        && crash.segments().contains(key.segment()))
                .map(crash -> new Clearance(key.service(), key.segment(), crash.upstream()))
                .distinct()
                .toList();
    }

    /** Returns whether any gateway but the given one has stated that a segment did not cause a crash. */
    boolean clearedByOther(Clearance clearance, String gateway) {
        return reports.entrySet().stream()
                .anyMatch(entry -> !entry.getKey().equals(gateway)
                        && entry.getValue().clearances().contains(clearance));
    }

    /** Returns the suspected segments with the crashes that are attributed to each. */
    Map<SegmentKey, Suspicion> suspicions() {
        final Map<SegmentKey, Map<String, Sighting>> sightings = sightings();
        final Map<SegmentKey, Suspicion> suspicions = new HashMap<>();
        while (!sightings.isEmpty()) {
            final Set<String> explained = mostCrashes(sightings);
            final Set<SegmentKey> tied = new HashSet<>();
            sightings.forEach((key, crashes) -> {
                if (crashes.keySet().equals(explained)) {
                    tied.add(key);
                }
            });
            tied.forEach(key -> suspicions.put(key, suspicion(key, sightings.get(key), tied)));
            sightings.values().forEach(crashes -> crashes.keySet().removeAll(explained));
            sightings.values().removeIf(Map::isEmpty);
        }
        return suspicions;
    }

    private Map<SegmentKey, Map<String, Sighting>> sightings() {
        final Set<Clearance> clearances = new HashSet<>();
        reports.values().forEach(report -> clearances.addAll(report.clearances()));
        final Map<SegmentKey, Map<String, Sighting>> sightings = new HashMap<>();
        reports.forEach((gateway, report) -> report.crashes()
                .forEach(crash -> crash.segments().stream()
                        .filter(segment ->
                                !clearances.contains(new Clearance(crash.service(), segment, crash.upstream())))
                        .forEach(segment -> sightings
                                .computeIfAbsent(new SegmentKey(crash.service(), segment), key -> new HashMap<>())
                                // Reports are ordered by gateway, so that all gateways name the same one.
                                .putIfAbsent(crash.upstream(), new Sighting(crash.millis(), gateway)))));
        return sightings;
    }

    /** Returns the crashes of the segment that has most of them; among equals, of the one whose name comes first. */
    private static Set<String> mostCrashes(Map<SegmentKey, Map<String, Sighting>> sightings) {
        return sightings.entrySet().stream()
                .min(Comparator.comparing((Map.Entry<SegmentKey, Map<String, Sighting>> entry) ->
                                -entry.getValue().size())
                        .thenComparing(entry -> entry.getKey().service())
                        .thenComparing(entry -> entry.getKey().segment()))
                .map(entry -> Set.copyOf(entry.getValue().keySet()))
                .orElseThrow();
    }

    private static Suspicion suspicion(SegmentKey key, Map<String, Sighting> crashes, Set<SegmentKey> tied) {
        final Sighting last = crashes.values().stream()
                .max(Comparator.comparingLong(Sighting::millis).thenComparing(Sighting::gateway))
                .orElseThrow();
        final Set<String> others = tied.stream()
                .filter(other -> !other.equals(key))
                .map(SegmentKey::segment)
                .collect(Collectors.toSet());
        return new Suspicion(crashes.keySet(), last.millis(), last.gateway(), others);
    }

    private record Sighting(long millis, String gateway) {}
}
