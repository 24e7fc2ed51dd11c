package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;

/** View, subsets and snapshots of one process, without threads, sockets or a clock. Not thread-safe. */
final class MembershipState {
    private final MembershipSettings settings;
    private final InstanceView view;
    private final SubsetSelector subset;
    private final Map<String, List<String>> chosen = new LinkedHashMap<>();
    private List<Instance> entries = List.of();
    private Map<String, Instance> instances = Map.of();
    private boolean rowsChanged;
    private boolean changed;

    MembershipState(MembershipSettings settings) {
        this.settings = settings;
        this.view = new InstanceView(settings.maxAgeMillis());
        this.subset = new SubsetSelector(settings.self(), settings.region(), settings.subsetSize());
    }

    void apply(InstanceChanges changes, long nowMillis) {
        final boolean first = view.listVersion() == 0;
        final boolean differs = view.apply(changes, nowMillis) || first;
        rowsChanged |= differs;
        changed |= differs;
    }

    void observe(String id, Observation observation, long nowMillis) {
        final boolean eligible = isEligible(id);
        changed |= view.observe(id, observation, nowMillis);
        rowsChanged |= eligible != isEligible(id);
    }

    private boolean isEligible(String id) {
        return view.find(id).map(Member::eligible).orElse(false);
    }

    void expire(long nowMillis) {
        final int before = view.members().size();
        changed |= view.expire(nowMillis);
        rowsChanged |= before != view.members().size();
    }

    long listVersion() {
        return view.listVersion();
    }

    /** Members of all subsets. */
    List<Member> members() {
        choose();
        final List<Member> result = new ArrayList<>();
        chosen.values().forEach(ids -> result.addAll(find(ids)));
        return result;
    }

    /** Returns a snapshot if anything changed since the last one. */
    Optional<MembershipSnapshot> takeSnapshot() {
        if (!changed) {
            return Optional.empty();
        }
        choose();
        changed = false;
        final Map<String, List<Member>> subsets = new LinkedHashMap<>();
        chosen.forEach((service, ids) -> subsets.put(service, find(ids)));
        return Optional.of(new MembershipSnapshot(view.listVersion(), subsets, entries, instances));
    }

    private List<Member> find(List<String> ids) {
        return ids.stream().map(view::find).flatMap(Optional::stream).toList();
    }

    private Collection<String> services() {
        return settings.services().isEmpty() ? view.services() : settings.services();
    }

    private void choose() {
        if (!rowsChanged) {
            return;
        }
        rowsChanged = false;
        chosen.keySet().retainAll(services());
        for (final String service : services()) {
            chosen.put(
                    service,
                    subset.select(view.eligible(service)).stream()
                            .map(Instance::id)
                            .toList());
        }
        entries = view.eligible(Instance.ENTRY_SERVICE);
        instances = view.instances();
    }
}
