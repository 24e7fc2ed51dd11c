package org.masticpaddle.entry;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.admission.ConcurrencyLimiter;
import org.masticpaddle.admission.DispatchCapacity;
import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamScore;
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.UpstreamSet;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

/**
 * Upstreams to which this entry may dispatch, in one pool per service, with the number of requests in flight. Owned by
 * the entry's duty; not thread-safe.
 */
final class Upstreams implements DispatchCapacity {
    private static final String PLAIN_MODEL = "plain";
    // Shorter than the time after which membership probes a sidecar from which it has no report.
    private static final long TRAFFIC_REPORT_INTERVAL_NANOS = 500_000_000L;
    private static final int INITIAL_CONCURRENCY_LIMIT = 16;
    private static final Pool EMPTY_POOL = new Pool();

    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, URI> addresses = new HashMap<>();
    private final PrefixIndex prefixes;
    private final UpstreamSelector selector;
    private final BiConsumer<String, LoadReport> trafficReportListener;
    private final Map<String, Long> lastTrafficReportNanos = new HashMap<>();
    private Map<Rank, RankPolicy> policies = Map.of();
    private long nowMillis;

    /**
     * Creates an empty set.
     *
     * @param trafficReportListener receives identifiers and load reports of sidecars that sent a report with an answer
     *     and therefore need no probe
     */
    Upstreams(PrefixIndex prefixes, UpstreamSelector selector, BiConsumer<String, LoadReport> trafficReportListener) {
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes is null");
        this.selector = Objects.requireNonNull(selector, "selector is null");
        this.trafficReportListener = Objects.requireNonNull(trafficReportListener, "trafficReportListener is null");
    }

    /** Chooses the upstream of a service for one attempt. */
    Optional<UpstreamView> choose(
            String service, UpstreamRequest request, long atMillis, UniformRandomProvider random) {
        return selector.choose(pool(service).upstreams, request, prefixes, atMillis, random);
    }

    /** Scores all upstreams of a service for one request, without side effects. */
    List<UpstreamScore> scores(String service, UpstreamRequest request, long atMillis) {
        return selector.scores(pool(service).upstreams, request, prefixes, atMillis);
    }

    /** Name that the sidecars of a plain service report in place of a loaded version. */
    static VersionName plainVersion(String service) {
        return new VersionName(PLAIN_MODEL, service);
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    /** Replaces the upstreams by the given members of this entry's subsets. State of other upstreams is dropped. */
    void updateMembers(Collection<Instance> members) {
        final Set<String> present = new HashSet<>();
        for (final Instance instance : members) {
            present.add(instance.id());
            addresses.put(instance.id(), instance.address());
            final Pool pool = pools.computeIfAbsent(instance.service(), name -> new Pool());
            final UpstreamView upstream = pool.upstreams.find(instance.id()).orElseGet(() -> {
                final UpstreamView view = new UpstreamView(instance.id(), instance.region(), instance.failureDomain());
                pool.upstreams.put(view);
                return view;
            });
            upstream.setDraining(instance.state() != Instance.State.LIVE);
        }
        for (final Pool pool : pools.values()) {
            for (int index = pool.upstreams.size() - 1; index >= 0; index--) {
                final String id = pool.upstreams.get(index).id();
                if (!present.contains(id)) {
                    pool.upstreams.remove(id);
                    prefixes.forget(id);
                }
            }
        }
        addresses.keySet().retainAll(present);
        lastTrafficReportNanos.keySet().retainAll(present);
    }

    /** Records a load report that came with a frame of an answer, and passes it to the listener at a limited rate. */
    void recordTrafficReport(String service, String id, LoadReport report, long atMillis, long nowNanos) {
        recordReport(service, id, report, atMillis, nowNanos);
        final Long last = lastTrafficReportNanos.get(id);
        if (last == null || nowNanos - last >= TRAFFIC_REPORT_INTERVAL_NANOS) {
            lastTrafficReportNanos.put(id, nowNanos);
            trafficReportListener.accept(id, report);
        }
    }

    /** Records a load report that was taken at {@code atMillis} or before. */
    void recordReport(String service, String id, LoadReport report, long atMillis, long nowNanos) {
        final Pool pool = pools.get(service);
        if (pool == null) {
            return;
        }
        pool.upstreams.find(id).ifPresent(view -> {
            view.onReport(report, atMillis);
            pool.limiter.recordLoadReport(id, report, pool.inFlight, nowNanos);
        });
    }

    /** Sets the current time and the number of entries that share the upstreams. */
    void update(long millis, int entries) {
        nowMillis = millis;
        pools.values().forEach(pool -> pool.limiter.setEntryCount(entries));
    }

    /** Names of the services with known upstreams. */
    Set<String> services() {
        return pools.keySet();
    }

    UpstreamSet upstreamSet(String service) {
        return pool(service).upstreams;
    }

    ConcurrencyLimiter concurrencyLimiter(String service) {
        return pool(service).limiter;
    }

    int inFlight(String service) {
        return pool(service).inFlight;
    }

    /** Counts a request as in flight. */
    void recordDispatch(String service, Rank rank) {
        final Pool pool = pool(service);
        pool.inFlight++;
        pool.inFlightByRank[rank.ordinal()]++;
    }

    /** Stops counting a request as in flight. */
    void recordEnd(String service, Rank rank) {
        final Pool pool = pool(service);
        pool.inFlight--;
        pool.inFlightByRank[rank.ordinal()]--;
    }

    /** Replaces the policies of the ranks, whose floors reserve capacity. */
    void updatePolicies(Map<Rank, RankPolicy> newPolicies) {
        policies = Map.copyOf(newPolicies);
    }

    private double floor(Rank rank) {
        final RankPolicy policy = policies.get(rank);
        return policy == null ? 0 : policy.floor();
    }

    /** Identifiers of the upstreams that are model engines. */
    List<String> engineIds() {
        final List<String> ids = new ArrayList<>();
        for (final Pool pool : pools.values()) {
            for (int index = 0; index < pool.upstreams.size(); index++) {
                final UpstreamView view = pool.upstreams.get(index);
                if (view.report().versions().stream().anyMatch(name -> !name.startsWith(PLAIN_MODEL + "/"))) {
                    ids.add(view.id());
                }
            }
        }
        return ids;
    }

    Optional<URI> address(String id) {
        return Optional.ofNullable(addresses.get(id));
    }

    /** Number of ready upstreams of a service that have the version loaded, and of all its ready upstreams. */
    int[] countLoadedAndReady(String service, VersionName version) {
        final UpstreamSet set = upstreamSet(service);
        int loaded = 0;
        int ready = 0;
        for (int index = 0; index < set.size(); index++) {
            if (set.get(index).report().ready()) {
                ready++;
                loaded += set.get(index).loaded(version) ? 1 : 0;
            }
        }
        return new int[] {loaded, ready};
    }

    @Override
    public boolean hasCapacity(String service, String version, Rank rank) {
        final Pool pool = pools.get(service);
        if (pool == null
                || !pool.limiter.allows(rank, floor(rank), pool.inFlight, pool.inFlightByRank[rank.ordinal()])) {
            return false;
        }
        final VersionName name = VersionName.parse(version);
        for (int index = 0; index < pool.upstreams.size(); index++) {
            if (pool.upstreams.get(index).accepts(name, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private Pool pool(String service) {
        return pools.getOrDefault(service, EMPTY_POOL);
    }

    private static final class Pool {
        private final UpstreamSet upstreams = new UpstreamSet();
        private final ConcurrencyLimiter limiter = ConcurrencyLimiter.of(INITIAL_CONCURRENCY_LIMIT);
        private final int[] inFlightByRank = new int[Rank.values().length];
        private int inFlight;
    }
}
