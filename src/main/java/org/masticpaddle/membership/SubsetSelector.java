package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.Hashing;

/**
 * Choice of the bounded subset of a service's instances that one process talks to.
 *
 * <p>Within a failure domain instances are ranked by rendezvous hash. The first of each domain come before the second of
 * any, and the own region before all others. One instance more or less therefore changes at most two members. Immutable
 * and thread-safe.
 */
public final class SubsetSelector {
    private final String self;
    private final String region;
    private final int size;

    /**
     * Creates a choice.
     *
     * @param self identifier of the process that chooses
     * @param region its region
     * @param size largest number of instances chosen
     */
    public SubsetSelector(String self, String region, int size) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.region = Objects.requireNonNull(region, "region is null");
        if (size < 1) {
            throw new IllegalArgumentException("size must be positive, found " + size);
        }
        this.size = size;
    }

    /**
     * Chooses a subset.
     *
     * @param candidates instances to choose from; their order does not matter
     * @return the instances chosen, best first
     */
    public List<Instance> select(Collection<Instance> candidates) {
        final List<Instance> near = new ArrayList<>();
        final List<Instance> far = new ArrayList<>();
        for (final Instance candidate : candidates) {
            (region.equals(candidate.region()) ? near : far).add(candidate);
        }
        final List<Instance> chosen = rank(near, size);
        // Ranking the other regions too would cost seven times as much at full size, where the own one suffices.
        if (chosen.size() < size) {
            chosen.addAll(rank(far, size - chosen.size()));
        }
        return List.copyOf(chosen);
    }

    private List<Instance> rank(List<Instance> candidates, int limit) {
        final Map<Domain, List<Ranked>> domains = new HashMap<>();
        for (final Instance candidate : candidates) {
            final long weight = Hashing.rendezvousWeight(self, candidate.id());
            domains.computeIfAbsent(new Domain(candidate.region(), candidate.failureDomain()), key -> new ArrayList<>())
                    .add(new Ranked(candidate, weight, 0));
        }
        final List<Ranked> ranked = new ArrayList<>();
        domains.values().forEach(members -> {
            members.sort(Ranked.BY_WEIGHT);
            for (int rank = 0; rank < Math.min(limit, members.size()); rank++) {
                ranked.add(new Ranked(members.get(rank).instance, members.get(rank).weight, rank));
            }
        });
        ranked.sort(Comparator.comparingInt(Ranked::rank).thenComparing(Ranked.BY_WEIGHT));
        final List<Instance> result = new ArrayList<>();
        ranked.stream().limit(limit).map(Ranked::instance).forEach(result::add);
        return result;
    }

    private record Domain(String region, String failureDomain) {}

    private record Ranked(Instance instance, long weight, int rank) {
        static final Comparator<Ranked> BY_WEIGHT = Comparator.comparing(
                        Ranked::weight, (left, right) -> Long.compareUnsigned(right, left))
                .thenComparing(entry -> entry.instance.id());
    }
}
