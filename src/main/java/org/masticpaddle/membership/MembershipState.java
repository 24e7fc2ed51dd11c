package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;

/**
 * State of the membership service: applies instance list changes and observations to the view, selects subsets and
 * creates snapshots. Has no thread, socket or clock of its own. Not thread-safe.
 */
final class MembershipState {
    private final MembershipSettings settings;
    private final InstanceView view;
    private final SubsetSelector selector;
    private final Map<String, List<String>> selectedIds = new LinkedHashMap<>();
    private List<Instance> entries = List.of();
    private Map<String, Instance> instances = Map.of();
    private boolean selectionOutdated;
    private boolean snapshotOutdated;

    MembershipState(MembershipSettings settings) {
        this.settings = settings;
        this.view = new InstanceView(settings.maxAgeMillis());
        this.selector = new SubsetSelector(settings.self(), settings.region(), settings.subsetSize());
    }

    void apply(InstanceChanges changes, long nowMillis) {
        final boolean firstResponse = view.listVersion() == 0;
        final boolean changed = view.apply(changes, nowMillis) || firstResponse;
        selectionOutdated |= changed;
        snapshotOutdated |= changed;
    }

    void observe(String id, Observation observation, long nowMillis) {
        final boolean wasEligible = isEligible(id);
        snapshotOutdated |= view.observe(id, observation, nowMillis);
        selectionOutdated |= wasEligible != isEligible(id);
    }

    private boolean isEligible(String id) {
        return view.find(id).map(Member::eligible).orElse(false);
    }

    void expire(long nowMillis) {
        final int sizeBefore = view.members().size();
        snapshotOutdated |= view.expire(nowMillis);
        selectionOutdated |= sizeBefore != view.members().size();
    }

    long listVersion() {
        return view.listVersion();
    }

    /** Returns the members of all subsets. */
    List<Member> members() {
        updateSelection();
        final List<Member> result = new ArrayList<>();
        selectedIds.values().forEach(ids -> result.addAll(find(ids)));
        return result;
    }

    /** Returns a new snapshot, empty if nothing changed since the last one. */
    Optional<MembershipSnapshot> takeSnapshot() {
        if (!snapshotOutdated) {
            return Optional.empty();
        }
        updateSelection();
        snapshotOutdated = false;
        final Map<String, List<Member>> subsets = new LinkedHashMap<>();
        selectedIds.forEach((service, ids) -> subsets.put(service, find(ids)));
        return Optional.of(new MembershipSnapshot(view.listVersion(), subsets, entries, instances));
    }

    private List<Member> find(List<String> ids) {
        return ids.stream().map(view::find).flatMap(Optional::stream).toList();
    }

    private Collection<String> services() {
        return settings.services().isEmpty() ? view.services() : settings.services();
    }

    private void updateSelection() {
        if (!selectionOutdated) {
            return;
        }
        selectionOutdated = false;
        selectedIds.keySet().retainAll(services());
        for (final String service : services()) {
            selectedIds.put(
                    service,
                    selector.select(view.eligible(service)).stream()
                            .map(Instance::id)
                            .toList());
        }
        entries = view.eligible(Instance.ENTRY_SERVICE);
        instances = view.instances();
    }
}
