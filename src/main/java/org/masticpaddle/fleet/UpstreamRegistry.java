package org.masticpaddle.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Registry of upstreams, built by applying the records of the upstream list.
 *
 * <p>Invariants: an upstream that is draining, says that it is about to stop, or was removed, is not a member of its service; an
 * incarnation that has said so never becomes a member again, whatever the list says. An entry that is removed
 * during an outage of the list, or within the grace period after it, has lapsed: a live upstream may only have been
 * unable to renew it, so it stays a member until the grace period ends. An upstream in an evacuated failure domain is no member
 * while the order is in force, also if it is listed later. An entry of an earlier incarnation never
 * replaces one of a later incarnation, and one from a copy of the list neither revives a removed incarnation nor ends a drain. Not
 * thread-safe: confined to the thread of its owner.
 */
public final class UpstreamRegistry {
    /** Largest number of removed upstreams that are remembered. */
    private static final int MAX_REMEMBERED = 4_096;
    /** Lower than the start time of any upstream. */
    private static final long NO_START = Long.MIN_VALUE;

    private final long gracePeriodNanos;
    private final Map<String, Registration> registrations = new HashMap<>();
    /** Start times of removed incarnations that were leaving, by identifier. */
    private final Map<String, Long> leavingStarts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** Start times of removed incarnations, by identifier. */
    private final Map<String, Long> removedStarts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    private final EvacuatedDomains evacuatedDomains = new EvacuatedDomains();
    private long outageEndNanos = Long.MIN_VALUE / 2;
    private boolean outage;
    private boolean listed;

    /**
     * Creates an empty registry.
     *
     * @param gracePeriodNanos time after an outage of the list within which live upstreams renew their entries, in
     *     nanoseconds
     */
    public UpstreamRegistry(long gracePeriodNanos) {
        this.gracePeriodNanos = gracePeriodNanos;
    }

    /**
     * Applies an entry of the list.
     *
     * @param upstream upstream described by the entry
     * @param now current time in nanoseconds
     * @return effect of the entry
     */
    public RegistryChange applyEntry(Upstream upstream, long now) {
        Objects.requireNonNull(upstream, "upstream is null");
        final Registration registration = registrations.get(upstream.id());
        if (registration == null) {
            final UpstreamState state = new UpstreamState(upstream, evacuatedDomains, now);
            if (leavingStarts.getOrDefault(upstream.id(), NO_START) >= upstream.startMillis()) {
                state.markLeaving();
            }
            if (listed) {
                state.recordStart(now);
            }
            state.cold().recordListed(upstream.coldLeftMillis(), now);
            registrations.put(upstream.id(), new Registration(state));
            return upstream.draining() ? RegistryChange.LEAVING : RegistryChange.ADDED;
        }
        final Upstream previous = registration.state.upstream();
        if (upstream.startMillis() < previous.startMillis()) {
            return RegistryChange.STALE;
        }
        final boolean renewed = registration.lapsed;
        registration.lapsed = false;
        registration.state.update(upstream);
        if (upstream.startMillis() > previous.startMillis()) {
            registration.state.recordStart(now);
        }
        registration.state.cold().recordListed(upstream.coldLeftMillis(), now);
        if (upstream.startMillis() > previous.startMillis()) {
            return RegistryChange.REBORN;
        }
        if (upstream.draining() != previous.draining()) {
            return upstream.draining() ? RegistryChange.LEAVING : RegistryChange.ADDED;
        }
        return renewed ? RegistryChange.ADDED : RegistryChange.UNCHANGED;
    }

    /**
     * Applies an entry of a list that was restored from a copy, which may be older than what was applied before. It takes effect
     * unless it says that a removed incarnation is registered or that a draining one is not; the next entry of a live upstream does.
     *
     * @param upstream upstream described by the entry
     * @param now current time in nanoseconds
     * @return effect of the entry
     */
    public RegistryChange applyRestoredEntry(Upstream upstream, long now) {
        Objects.requireNonNull(upstream, "upstream is null");
        final Registration registration = registrations.get(upstream.id());
        final boolean outdated = registration == null
                ? removedStarts.getOrDefault(upstream.id(), NO_START) >= upstream.startMillis()
                : registration.state.upstream().draining()
                        && !upstream.draining()
                        && registration.state.upstream().startMillis() >= upstream.startMillis();
        return outdated ? RegistryChange.STALE : applyEntry(upstream, now);
    }

    /**
     * Applies the removal of an entry.
     *
     * @param id identifier of the upstream
     * @param now current time in nanoseconds
     * @return effect of the removal
     */
    public RegistryChange applyRemoval(String id, long now) {
        final Registration registration = registrations.get(id);
        if (registration == null) {
            return RegistryChange.UNCHANGED;
        }
        final boolean inGracePeriod = outage || now - outageEndNanos < gracePeriodNanos;
        if (inGracePeriod && !registration.state.upstream().draining()) {
            registration.lapsed = true;
            return RegistryChange.LAPSED;
        }
        remove(id);
        return RegistryChange.REMOVED;
    }

    /**
     * Applies an order to evacuate a failure domain.
     *
     * @param failureDomain name of the domain
     * @param offset offset of the order in the operators' stream
     * @return effect of the order
     */
    public EvacuationChange evacuate(String failureDomain, long offset) {
        return evacuatedDomains.order(failureDomain, offset);
    }

    /**
     * Applies the withdrawal of such an order. The caches of the upstreams may be empty and their load another one than before,
     * so that what was observed of them is forgotten. They count as cold, since their entries may say so only later.
     *
     * @param failureDomain name of the domain
     * @param offset offset of the withdrawal in the operators' stream
     * @param now current time in nanoseconds
     * @return effect of the withdrawal
     */
    public EvacuationChange restore(String failureDomain, long offset, long now) {
        final EvacuationChange change = evacuatedDomains.withdraw(failureDomain, offset);
        if (change.effective()) {
            upstreamsIn(failureDomain).forEach(state -> {
                state.forgetObservations();
                state.cold().recordReturn(now);
            });
        }
        return change;
    }

    /** Records that the operators' stream has begun another history, whose offsets must not be compared with the present ones. */
    public void onOrderHistoryReplaced() {
        evacuatedDomains.beginHistory();
    }

    /**
     * Returns the failure domains that are evacuated.
     *
     * @return names in alphabetical order
     */
    public Set<String> evacuatedDomains() {
        return evacuatedDomains.names();
    }

    /**
     * Returns the upstreams of a failure domain.
     *
     * @param failureDomain name of the domain
     * @return states of all registered upstreams there, draining and lapsed ones included
     */
    public List<UpstreamState> upstreamsIn(String failureDomain) {
        return all().stream()
                .filter(state -> state.upstream().failureDomain().equals(failureDomain))
                .toList();
    }

    /** Records that the list was read whole; an upstream that is listed for the first time after that has just started. */
    public void markListed() {
        listed = true;
    }

    /** Records that the list cannot be read. */
    public void onOutageStart() {
        outage = true;
    }

    /**
     * Records that the list can be read again, which starts the grace period.
     *
     * @param now current time in nanoseconds
     */
    public void onOutageEnd(long now) {
        if (outage) {
            outage = false;
            outageEndNanos = now;
        }
    }

    /**
     * Removes lapsed upstreams whose entries were not renewed within the grace period after an outage.
     *
     * @param now current time in nanoseconds
     * @return identifiers of the removed upstreams; empty during an outage and its grace period
     */
    public List<String> expire(long now) {
        if (outage || now - outageEndNanos < gracePeriodNanos) {
            return List.of();
        }
        final List<String> expired = new ArrayList<>();
        registrations.forEach((id, registration) -> {
            if (registration.lapsed) {
                expired.add(id);
            }
        });
        expired.forEach(this::remove);
        return expired;
    }

    /** Removes an upstream; keeps in mind that it is leaving, since its entry may be listed again. */
    private void remove(String id) {
        final UpstreamState state = registrations.remove(id).state;
        removedStarts.put(id, state.upstream().startMillis());
        if (state.leaving()) {
            leavingStarts.put(id, state.upstream().startMillis());
        }
    }

    /**
     * Returns the members of a service: its upstreams that are not about to stop and not in an evacuated failure domain, lapsed
     * ones included.
     *
     * @param service name of the service
     * @return states of the members, in no particular order
     */
    public List<UpstreamState> members(String service) {
        return remaining(service, false);
    }

    /**
     * Returns the upstreams of a service that are no members only because their failure domain is evacuated.
     *
     * @param service name of the service
     * @return states of the upstreams, in no particular order
     */
    public List<UpstreamState> evacuated(String service) {
        return remaining(service, true);
    }

    private List<UpstreamState> remaining(String service, boolean evacuated) {
        final List<UpstreamState> remaining = new ArrayList<>();
        for (final Registration registration : registrations.values()) {
            final UpstreamState state = registration.state;
            if (state.upstream().service().equals(service)
                    && !state.leaving()
                    && state.domainEvacuated() == evacuated) {
                remaining.add(state);
            }
        }
        return remaining;
    }

    /**
     * Returns the services that have upstreams.
     *
     * @return names of the services, draining upstreams included
     */
    public Set<String> services() {
        final Set<String> services = new HashSet<>();
        registrations
                .values()
                .forEach(registration ->
                        services.add(registration.state.upstream().service()));
        return services;
    }

    /**
     * Finds an upstream by identifier.
     *
     * @param id identifier of the upstream
     * @return its state, or empty if it is not registered
     */
    public Optional<UpstreamState> find(String id) {
        return Optional.ofNullable(registrations.get(id)).map(registration -> registration.state);
    }

    /**
     * Returns all registered upstreams, draining and lapsed ones included.
     *
     * @return their states, in no particular order
     */
    public List<UpstreamState> all() {
        return registrations.values().stream()
                .map(registration -> registration.state)
                .toList();
    }

    private static final class Registration {
        private final UpstreamState state;
        private boolean lapsed;

        Registration(UpstreamState state) {
            this.state = state;
        }
    }
}
