package org.masticpaddle.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The upstreams of one service that an entry may choose from, by position and by id. Not thread-safe. */
public final class UpstreamSet {
    private final List<UpstreamView> views = new ArrayList<>();
    private final Map<String, UpstreamView> byId = new HashMap<>();

    /** Creates an empty set. */
    public UpstreamSet() {}

    /**
     * Adds an upstream, or replaces the one with the same id.
     *
     * @param view the upstream
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
        final UpstreamView known = byId.remove(id);
        if (known != null) {
            views.remove(known);
        }
    }

    /**
     * Finds an upstream.
     *
     * @param id identifier of the instance
     * @return the upstream
     */
    public Optional<UpstreamView> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns an upstream by position.
     *
     * @param index position, from 0 to size, exclusive
     * @return the upstream
     */
    public UpstreamView get(int index) {
        return views.get(index);
    }

    /**
     * Returns the number of upstreams.
     *
     * @return size
     */
    public int size() {
        return views.size();
    }
}
