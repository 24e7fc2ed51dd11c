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
import org.masticpaddle.admission.DispatchCapacity;
import org.masticpaddle.admission.ConcurrencyLimiter;
import org.masticpaddle.document.RankPolicy;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.routing.PrefixIndex;
import org.masticpaddle.routing.UpstreamSelector;
import org.masticpaddle.routing.UpstreamRequest;
import org.masticpaddle.routing.UpstreamScore;
import org.masticpaddle.routing.UpstreamSet;
import org.masticpaddle.routing.UpstreamView;
import org.masticpaddle.wire.LoadReport;
import org.masticpaddle.wire.Rank;

/**
 * Upstreams that this entry may dispatch to, by service, with what is in flight. Owned by the entry's duty; not
 * thread-safe.
 */
final class Upstreams implements DispatchCapacity {
    private static final String PLAIN_MODEL = "plain";
    // Below the time after which a silent sidecar is probed.
    private static final long HEARD_INTERVAL_NANOS = 500_000_000L;
    private static final int INITIAL_IN_FLIGHT = 16;
    private static final Pool EMPTY = new Pool();

    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, URI> addresses = new HashMap<>();
    private final PrefixIndex prefixes;
    private final UpstreamSelector choice;
    private final BiConsumer<String, LoadReport> heard;
    private final Map<String, Long> heardNanos = new HashMap<>();
    private Map<Rank, RankPolicy> policies = Map.of();
    private long nowMillis;

    /**
     * Creates an empty set.
     *
     * @param heard receives reports that came with traffic, so that these sidecars need no probe
     */
    Upstreams(PrefixIndex prefixes, UpstreamSelector choice, BiConsumer<String, LoadReport> heard) {
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes is null");
        this.choice = Objects.requireNonNull(choice, "choice is null");
        this.heard = Objects.requireNonNull(heard, "heard is null");
    }

    /** Chooses the upstream of a service for one attempt. */
    Optional<UpstreamView> choose(String service, UpstreamRequest wanted, long atMillis, UniformRandomProvider random) {
        return choice.choose(pool(service).set, wanted, prefixes, atMillis, random);
    }

    /** Scores all upstreams of a service for one request, without side effects. */
    List<UpstreamScore> scores(String service, UpstreamRequest wanted, long atMillis) {
        return choice.scores(pool(service).set, wanted, prefixes, atMillis);
    }

    /** Name that the sidecars of a plain service report in place of a loaded version. */
    static VersionName plainVersion(String service) {
        return new VersionName(PLAIN_MODEL, service);
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    /** Takes over the members that this entry may use; all others are forgotten. */
    void members(Collection<Instance> members) {
        final Set<String> present = new HashSet<>();
        for (final Instance instance : members) {
            present.add(instance.id());
            addresses.put(instance.id(), instance.address());
            final Pool pool = pools.computeIfAbsent(instance.service(), name -> new Pool());
            final UpstreamView known = pool.set.find(instance.id()).orElseGet(() -> {
                final UpstreamView view = new UpstreamView(instance.id(), instance.region(), instance.failureDomain());
                pool.set.put(view);
                return view;
            });
            known.setDraining(instance.state() != Instance.State.LIVE);
        }
        for (final Pool pool : pools.values()) {
            for (int index = pool.set.size() - 1; index >= 0; index--) {
                final String id = pool.set.get(index).id();
                if (!present.contains(id)) {
                    pool.set.remove(id);
                    prefixes.forget(id);
                }
            }
        }
        addresses.keySet().retainAll(present);
        heardNanos.keySet().retainAll(present);
    }

    /** Takes over a load report that came with traffic. */
    void heard(String service, String id, LoadReport report, long atMillis, long nowNanos) {
        report(service, id, report, atMillis, nowNanos);
        final Long last = heardNanos.get(id);
        if (last == null || nowNanos - last >= HEARD_INTERVAL_NANOS) {
            heardNanos.put(id, nowNanos);
            heard.accept(id, report);
        }
    }

    /** Takes over a load report; its figures were true at {@code atMillis} at the latest. */
    void report(String service, String id, LoadReport report, long atMillis, long nowNanos) {
        final Pool pool = pools.get(service);
        if (pool == null) {
            return;
        }
        pool.set.find(id).ifPresent(view -> {
            view.onReport(report, atMillis);
            pool.bound.recordLoadReport(id, report, pool.inFlight, nowNanos);
        });
    }

    /** Sets the time and the number of entries that share the upstreams. */
    void now(long millis, int entries) {
        nowMillis = millis;
        pools.values().forEach(pool -> pool.bound.setEntryCount(entries));
    }

    /** Names of the services with known upstreams. */
    Set<String> services() {
        return pools.keySet();
    }

    UpstreamSet set(String service) {
        return pool(service).set;
    }

    ConcurrencyLimiter bound(String service) {
        return pool(service).bound;
    }

    int inFlight(String service) {
        return pool(service).inFlight;
    }

    void dispatched(String service, Rank rank) {
        final Pool pool = pool(service);
        pool.inFlight++;
        pool.byRank[rank.ordinal()]++;
    }

    void finished(String service, Rank rank) {
        final Pool pool = pool(service);
        pool.inFlight--;
        pool.byRank[rank.ordinal()]--;
    }

    /** Takes over the floors of a new routing document. */
    void policies(Map<Rank, RankPolicy> declared) {
        policies = Map.copyOf(declared);
    }

    private double floor(Rank rank) {
        final RankPolicy policy = policies.get(rank);
        return policy == null ? 0 : policy.floor();
    }

    /** Identifiers of the upstreams that are model engines. */
    List<String> engines() {
        final List<String> ids = new ArrayList<>();
        for (final Pool pool : pools.values()) {
            for (int index = 0; index < pool.set.size(); index++) {
                final UpstreamView view = pool.set.get(index);
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

    /** Number of upstreams of a service that have a version loaded, and of all that are ready. */
    int[] loaded(String service, VersionName version) {
        final UpstreamSet set = set(service);
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
        if (pool == null || !pool.bound.allows(rank, floor(rank), pool.inFlight, pool.byRank[rank.ordinal()])) {
            return false;
        }
        final VersionName name = VersionName.parse(version);
        for (int index = 0; index < pool.set.size(); index++) {
            if (pool.set.get(index).accepts(name, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private Pool pool(String service) {
        return pools.getOrDefault(service, EMPTY);
    }

    private static final class Pool {
        private final UpstreamSet set = new UpstreamSet();
        private final ConcurrencyLimiter bound = ConcurrencyLimiter.of(INITIAL_IN_FLIGHT);
        private final int[] byRank = new int[Rank.values().length];
        private int inFlight;
    }
}
