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
 * View of instances, folded from the lagging instance list and from observations.
 *
 * <p>Invariants: messages of an older incarnation than the highest one heard of change nothing; a draining incarnation
 * stays draining; a new incarnation starts without load, refusals and failures. Not thread-safe.
 */
public final class InstanceView {
    private final long maxAgeMillis;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private long listVersion;

    /**
     * Creates an empty view.
     *
     * @param maxAgeMillis milliseconds after which a load report no longer counts, and after which an instance that the
     *     list lacks and that is silent is forgotten
     */
    public InstanceView(long maxAgeMillis) {
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Folds an answer of the instance list. Changes older than those known are ignored. An instance that a complete list
     * lacks is kept while it is heard from, since the list has gaps; one that is reported gone gets no new work.
     *
     * @param changes the answer
     * @param nowMillis time of the process's clock
     * @return whether anything changed
     */
    public boolean apply(InstanceChanges changes, long nowMillis) {
        if (!changes.complete() && changes.version() <= listVersion) {
            return false;
        }
        boolean changed = false;
        for (final Instance row : changes.instances()) {
            changed |= update(row, nowMillis);
        }
        if (changes.complete()) {
            changed |= unlistMissing(changes.instances(), nowMillis);
        }
        listVersion = changes.version();
        return changed;
    }

    private boolean update(Instance row, long nowMillis) {
        final Member known = members.get(row.id());
        if (known == null || !known.instance().address().equals(row.address())) {
            if (known == null && row.state() == Instance.State.GONE) {
                return false;
            }
            members.put(row.id(), Member.of(row, nowMillis));
            return true;
        }
        final boolean present = row.state() != Instance.State.GONE;
        if (known.instance().equals(row) && known.listed() == present) {
            return false;
        }
        members.put(row.id(), known.listed(row, present, nowMillis));
        return true;
    }

    private boolean unlistMissing(Collection<Instance> rows, long nowMillis) {
        final Set<String> present = new HashSet<>();
        rows.forEach(row -> present.add(row.id()));
        boolean changed = false;
        for (final Map.Entry<String, Member> entry : members.entrySet()) {
            if (entry.getValue().listed() && !present.contains(entry.getKey())) {
                entry.setValue(entry.getValue().listed(entry.getValue().instance(), false, nowMillis));
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Folds an observation. One about an instance that is not in the view is ignored.
     *
     * @param id identifier of the instance
     * @param observation what was learned
     * @param nowMillis time of the process's clock
     * @return whether anything changed
     */
    public boolean observe(String id, Observation observation, long nowMillis) {
        final Member known = members.get(id);
        if (known == null) {
            return false;
        }
        final Member next = next(known, observation, nowMillis);
        members.put(id, next);
        return next != known;
    }

    private static Member next(Member known, Observation observation, long nowMillis) {
        if (observation instanceof Observation.Reported reported) {
            final long incarnation = reported.report().incarnation();
            return outdated(known, incarnation)
                    ? known
                    : known.withIncarnation(incarnation).withReport(reported.report(), nowMillis);
        }
        if (observation instanceof Observation.Draining draining) {
            return outdated(known, draining.incarnation())
                    ? known
                    : known.withIncarnation(draining.incarnation()).withDraining();
        }
        if (observation instanceof Observation.Rejected refused) {
            return outdated(known, refused.incarnation())
                    ? known
                    : known.withIncarnation(refused.incarnation()).withRefusal(nowMillis);
        }
        return known.withFailure();
    }

    private static boolean outdated(Member known, long incarnation) {
        return incarnation != 0 && incarnation < known.incarnation();
    }

    /**
     * Forgets what is too old.
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
     * @return what is known of it
     */
    public Optional<Member> find(String id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Lists all instances.
     *
     * @return live view of the members
     */
    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /**
     * Lists the instances of a service that may be part of a subset.
     *
     * @param service name of the service
     * @return rows of the list that are live and do not drain
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
     * Lists the services that have instances, the entries aside.
     *
     * @return names in order
     */
    public Collection<String> services() {
        final Collection<String> services = new TreeSet<>();
        members.values().forEach(member -> services.add(member.instance().service()));
        services.remove(Instance.ENTRY_SERVICE);
        return services;
    }

    /**
     * Copies the rows of all instances.
     *
     * @return rows by identifier
     */
    public Map<String, Instance> instances() {
        final Map<String, Instance> rows = new LinkedHashMap<>();
        members.forEach((id, member) -> rows.put(id, member.instance()));
        return Collections.unmodifiableMap(rows);
    }

    /**
     * Returns the version of the list up to which changes are folded.
     *
     * @return the version, 0 before the first answer
     */
    public long listVersion() {
        return listVersion;
    }
}
