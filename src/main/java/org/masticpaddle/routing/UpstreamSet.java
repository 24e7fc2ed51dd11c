package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Set of the upstreams of one service, indexed by position and by identifier. Not thread-safe. */
public final class UpstreamSet {
    private final List<UpstreamView> views = new ArrayList<>();
    private final Map<String, UpstreamView> byId = new HashMap<>();

    /** Creates an empty set. */
    public UpstreamSet() {}

    /**
     * Adds an upstream, or replaces the one with the same identifier.
     *
     * @param view view of the upstream
     */
    public void put(UpstreamView view) {
        remove(view.id());
        byId.put(view.id(), view);
        views.add(view);
    }

    /**
     * Removes an upstream, if present.
     *
     * @param id identifier of the instance
     */
    public void remove(String id) {
        final UpstreamView removed = byId.remove(id);
        if (removed != null) {
            views.remove(removed);
        }
    }

    /**
     * Finds an upstream by identifier.
     *
     * @param id identifier of the instance
     * @return view of the upstream, or empty if it is not in the set
     */
    public Optional<UpstreamView> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns an upstream by position.
     *
     * @param index position, from 0 up to but not including {@link #size}; positions change when an upstream is removed
     * @return view of the upstream
     */
    public UpstreamView get(int index) {
        return views.get(index);
    }

    /**
     * Returns the number of upstreams.
     *
     * @return number of upstreams in the set
     */
    public int size() {
        return views.size();
    }
}
