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
 * Selects the bounded subset of a service's instances that one process connects to.
 *
 * <p>Instances are ordered by rendezvous hash within their failure domain. The first instance of every domain is
 * selected before the second of any domain, and instances of the process's own region before those of other regions.
 * Adding or removing one instance therefore changes at most two members of the subset. Immutable and thread-safe.
 */
public final class SubsetSelector {
    private final String self;
    private final String region;
    private final int size;

    /**
     * Creates a selector.
     *
     * @param self identifier of the process that connects to the subset
     * @param region region of that process
     * @param size maximum number of instances in the subset, at least 1
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
     * Selects a subset.
     *
     * @param candidates instances to select from; their order does not matter
     * @return the selected instances in order of preference
     */
    public List<Instance> select(Collection<Instance> candidates) {
        final List<Instance> sameRegion = new ArrayList<>();
        final List<Instance> otherRegions = new ArrayList<>();
        for (final Instance candidate : candidates) {
            (region.equals(candidate.region()) ? sameRegion : otherRegions).add(candidate);
        }
        final List<Instance> selected = spreadOverDomains(sameRegion, size);
        // In a full deployment the own region suffices, and hashing all regions would cost seven times as much.
        if (selected.size() < size) {
            selected.addAll(spreadOverDomains(otherRegions, size - selected.size()));
        }
        return List.copyOf(selected);
    }

    private List<Instance> spreadOverDomains(List<Instance> candidates, int limit) {
        final Map<Domain, List<Candidate>> domains = new HashMap<>();
        for (final Instance candidate : candidates) {
            final long weight = Hashing.rendezvousWeight(self, candidate.id());
            domains.computeIfAbsent(new Domain(candidate.region(), candidate.failureDomain()), key -> new ArrayList<>())
                    .add(new Candidate(candidate, weight, 0));
        }
        final List<Candidate> ordered = new ArrayList<>();
        domains.values().forEach(members -> {
            members.sort(Candidate.BY_WEIGHT);
            for (int position = 0; position < Math.min(limit, members.size()); position++) {
                ordered.add(new Candidate(members.get(position).instance, members.get(position).weight, position));
            }
        });
        ordered.sort(Comparator.comparingInt(Candidate::position).thenComparing(Candidate.BY_WEIGHT));
        final List<Instance> result = new ArrayList<>();
        ordered.stream().limit(limit).map(Candidate::instance).forEach(result::add);
        return result;
    }

    private record Domain(String region, String failureDomain) {}

    private record Candidate(Instance instance, long weight, int position) {
        static final Comparator<Candidate> BY_WEIGHT = Comparator.comparing(
                        Candidate::weight, (left, right) -> Long.compareUnsigned(right, left))
                .thenComparing(candidate -> candidate.instance.id());
    }
}
