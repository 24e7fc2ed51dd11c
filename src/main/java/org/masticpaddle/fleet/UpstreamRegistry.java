package org.masticpaddle.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The upstreams that are listed, folded from the records of their list.
 *
 * <p>Invariants: an upstream that is listed as leaving or was removed gets no new work, but for one whose entry lapsed
 * around an outage of the list, which keeps its place until the time in which live upstreams return is over. An entry of
 * an earlier life never replaces one of a later life. Not thread-safe: the owner's thread uses it.
 */
public final class UpstreamRegistry {
    private final long returnNanos;
    private final Map<String, Place> places = new HashMap<>();
    private long outageEnd = Long.MIN_VALUE / 2;
    private boolean outage;

    /**
     * Creates an empty roster.
     *
     * @param returnNanos time after an outage of the list in which live upstreams are listed again
     */
    public UpstreamRegistry(long returnNanos) {
        this.returnNanos = returnNanos;
    }

    /**
     * Takes an entry.
     *
     * @param upstream the entry
     * @param now time in nanoseconds
     * @return what changed
     */
    public RegistryChange applyEntry(Upstream upstream, long now) {
        Objects.requireNonNull(upstream, "upstream is null");
        final Place known = places.get(upstream.id());
        if (known == null) {
            places.put(upstream.id(), new Place(new UpstreamState(upstream, now)));
            return upstream.draining() ? RegistryChange.LEAVING : RegistryChange.ADDED;
        }
        final Upstream before = known.state.upstream();
        if (upstream.startMillis() < before.startMillis()) {
            return RegistryChange.STALE;
        }
        final boolean returned = known.lapsed;
        known.lapsed = false;
        known.state.update(upstream);
        if (upstream.startMillis() > before.startMillis()) {
            return RegistryChange.REBORN;
        }
        if (upstream.draining() != before.draining()) {
            return upstream.draining() ? RegistryChange.LEAVING : RegistryChange.ADDED;
        }
        return returned ? RegistryChange.ADDED : RegistryChange.UNCHANGED;
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id identifier of the upstream
     * @param now time in nanoseconds
     * @return what changed
     */
    public RegistryChange applyRemoval(String id, long now) {
        final Place known = places.get(id);
        if (known == null) {
            return RegistryChange.UNCHANGED;
        }
        final boolean mayReturn = outage || now - outageEnd < returnNanos;
        if (mayReturn && !known.state.upstream().draining()) {
            known.lapsed = true;
            return RegistryChange.LAPSED;
        }
        places.remove(id);
        return RegistryChange.REMOVED;
    }

    /** Notes that the list cannot be read. */
    public void onOutageStart() {
        outage = true;
    }

    /**
     * Notes that the list can be read again.
     *
     * @param now time in nanoseconds
     */
    public void onOutageEnd(long now) {
        if (outage) {
            outage = false;
            outageEnd = now;
        }
    }

    /**
     * Drops upstreams that have not returned in time after an outage.
     *
     * @param now time in nanoseconds
     * @return identifiers of the upstreams that are gone
     */
    public List<String> expire(long now) {
        if (outage || now - outageEnd < returnNanos) {
            return List.of();
        }
        final List<String> gone = new ArrayList<>();
        places.forEach((id, place) -> {
            if (place.lapsed) {
                gone.add(id);
            }
        });
        gone.forEach(places::remove);
        return gone;
    }

    /**
     * Lists the upstreams of a service that may get work.
     *
     * @param service name of the service
     * @return their states
     */
    public List<UpstreamState> members(String service) {
        final List<UpstreamState> members = new ArrayList<>();
        for (final Place place : places.values()) {
            final Upstream upstream = place.state.upstream();
            if (upstream.service().equals(service) && !upstream.draining()) {
                members.add(place.state);
            }
        }
        return members;
    }

    /**
     * Finds an upstream.
     *
     * @param id its identifier
     * @return its state
     */
    public Optional<UpstreamState> find(String id) {
        return Optional.ofNullable(places.get(id)).map(place -> place.state);
    }

    /**
     * Lists all upstreams.
     *
     * @return the states
     */
    public List<UpstreamState> all() {
        return places.values().stream().map(place -> place.state).toList();
    }

    private static final class Place {
        private final UpstreamState state;
        private boolean lapsed;

        Place(UpstreamState state) {
            this.state = state;
        }
    }
}
