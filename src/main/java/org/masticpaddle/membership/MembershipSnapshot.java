package org.masticpaddle.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.platform.Instance;

/**
 * State of the membership at one moment. Immutable and thread-safe.
 *
 * @param listVersion version of the instance list, 0 before its first answer
 * @param subsets members of the subset by service
 * @param entries live entries in the list, this process included
 * @param instances rows of all instances by identifier, also outside the subsets; not to be changed
 */
public record MembershipSnapshot(
        long listVersion, Map<String, List<Member>> subsets, List<Instance> entries, Map<String, Instance> instances) {
    /** Copies the collections. */
    public MembershipSnapshot {
        subsets = Map.copyOf(subsets);
        entries = List.copyOf(entries);
    }

    /**
     * Returns the snapshot before the first answer of the list.
     *
     * @return a snapshot without members
     */
    public static MembershipSnapshot empty() {
        return new MembershipSnapshot(0, Map.of(), List.of(), Map.of());
    }

    /**
     * Lists the members that accept new work.
     *
     * @param service name of the service
     * @return members that are ready and neither leave, drain, refuse nor fail
     */
    public List<Member> accepting(String service) {
        return subsets.getOrDefault(service, List.of()).stream()
                .filter(Member::accepts)
                .toList();
    }

    /**
     * Finds a member of a subset.
     *
     * @param id identifier of the instance
     * @return the member
     */
    public Optional<Member> find(String id) {
        return subsets.values().stream()
                .flatMap(List::stream)
                .filter(member -> member.instance().id().equals(id))
                .findFirst();
    }
}
