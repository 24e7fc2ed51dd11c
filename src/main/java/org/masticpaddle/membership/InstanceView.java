package org.masticpaddle.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;

/**
 * View of all instances, built from the instance list, which lags, and from the process's own observations.
 *
 * <p>Invariants: observations of an older incarnation than the highest one seen are ignored; a draining incarnation
 * stays draining; a new incarnation starts without load report, rejections and failures. Not thread-safe.
 */
public final class InstanceView {
    private final long maxAgeMillis;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private long listVersion;

    /**
     * Creates an empty view.
     *
     * @param maxAgeMillis milliseconds after which a load report expires, and after which an instance that is neither
     *     in the list nor reporting is removed
     */
    public InstanceView(long maxAgeMillis) {
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Applies a response of the instance list. Incremental changes that are not newer than those applied are ignored.
     * An instance that is missing from a complete list is kept while it reports, since the list has gaps; an instance
     * that the list marks as removed gets no new requests.
     *
     * @param changes response of the instance list
     * @param nowMillis time of the process's clock
     * @return whether anything changed
     */
    public boolean apply(InstanceChanges changes, long nowMillis) {
        if (!changes.complete() && changes.version() <= listVersion) {
            return false;
        }
        boolean changed = false;
        for (final Instance row : changes.instances()) {
            changed |= updateRow(row, nowMillis);
        }
        if (changes.complete()) {
            changed |= markMissingAsUnlisted(changes.instances(), nowMillis);
        }
        listVersion = changes.version();
        return changed;
    }

    private boolean updateRow(Instance row, long nowMillis) {
        final Member member = members.get(row.id());
        if (member == null || !member.instance().address().equals(row.address())) {
            if (member == null && row.state() == Instance.State.GONE) {
                return false;
            }
            members.put(row.id(), Member.of(row, nowMillis));
            return true;
        }
        final boolean listed = row.state() != Instance.State.GONE;
        if (member.instance().equals(row) && member.listed() == listed) {
            return false;
        }
        members.put(row.id(), member.withListing(row, listed, nowMillis));
        return true;
    }

    private boolean markMissingAsUnlisted(Collection<Instance> rows, long nowMillis) {
        final Set<String> listedIds = new HashSet<>();
        rows.forEach(row -> listedIds.add(row.id()));
        boolean changed = false;
        for (final Map.Entry<String, Member> entry : members.entrySet()) {
            if (entry.getValue().listed() && !listedIds.contains(entry.getKey())) {
                entry.setValue(entry.getValue().withListing(entry.getValue().instance(), false, nowMillis));
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Applies an observation. Observations of instances that are not in the view are ignored.
     *
     * @param id identifier of the instance
     * @param observation load report, draining, rejection or failure; no effect if of an older incarnation
     * @param nowMillis time of the process's clock
     * @return whether anything changed
     */
    public boolean observe(String id, Observation observation, long nowMillis) {
        final Member member = members.get(id);
        if (member == null) {
            return false;
        }
        final Member next = applyObservation(member, observation, nowMillis);
        members.put(id, next);
        return next != member;
    }

    private static Member applyObservation(Member member, Observation observation, long nowMillis) {
        if (observation instanceof Observation.Reported reported) {
            final long incarnation = reported.report().incarnation();
            return fromOlderIncarnation(member, incarnation)
                    ? member
                    : member.withIncarnation(incarnation).withReport(reported.report(), nowMillis);
        }
        if (observation instanceof Observation.Draining draining) {
            return fromOlderIncarnation(member, draining.incarnation())
                    ? member
                    : member.withIncarnation(draining.incarnation()).withDraining();
        }
        if (observation instanceof Observation.Rejected rejected) {
            return fromOlderIncarnation(member, rejected.incarnation())
                    ? member
                    : member.withIncarnation(rejected.incarnation()).withRejection(nowMillis);
        }
        return member.withFailure();
    }

    private static boolean fromOlderIncarnation(Member member, long incarnation) {
        return incarnation != 0 && incarnation < member.incarnation();
    }

    /**
     * Removes expired load reports, and unlisted instances that stopped reporting.
     *
     * @param nowMillis time of the process's clock
     * @return whether anything changed
     */
    public boolean expire(long nowMillis) {
        boolean changed = members.values()
                .removeIf(member -> !member.listed()
                        && nowMillis - Math.max(member.lastReportMillis(), member.listedMillis()) > maxAgeMillis);
        for (final Map.Entry<String, Member> entry : members.entrySet()) {
            final Member member = entry.getValue();
            if (member.load().isPresent() && nowMillis - member.lastReportMillis() > maxAgeMillis) {
                entry.setValue(member.withoutLoad());
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Finds an instance.
     *
     * @param id identifier
     * @return the member, empty if the instance is not in the view
     */
    public Optional<Member> find(String id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Lists all instances.
     *
     * @return unmodifiable live view of the members
     */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /**
     * Lists the instances of a service that subsets may contain.
     *
     * @param service name of the service
     * @return instances that are live and not draining
     */
    public List<Instance> eligible(String service) {
        final List<Instance> result = new ArrayList<>();
        for (final Member member : members.values()) {
            if (member.instance().service().equals(service) && member.eligible()) {
                result.add(member.instance());
            }
        }
        return result;
    }

    /**
     * Lists the services that have instances, except the service of the entries.
     *
     * @return service names in alphabetical order
     */
    public Collection<String> services() {
        final Collection<String> services = new TreeSet<>();
        members.values().forEach(member -> services.add(member.instance().service()));
        services.remove(Instance.ENTRY_SERVICE);
        return services;
    }

    /**
     * Copies the instance list rows of all members.
     *
     * @return rows by identifier of the instance
     */
    public Map<String, Instance> instances() {
        final Map<String, Instance> rows = new LinkedHashMap<>();
        members.forEach((id, member) -> rows.put(id, member.instance()));
        return Collections.unmodifiableMap(rows);
    }

    /**
     * Returns the version of the instance list that was applied last.
     *
     * @return the version, 0 before the first response
     */
    public long listVersion() {
        return listVersion;
    }
}
