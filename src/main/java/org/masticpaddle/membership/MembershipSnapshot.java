package org.masticpaddle.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticpaddle.platform.Instance;

/**
 * Membership at one point in time. Immutable and thread-safe.
 *
 * @param listVersion version of the instance list, 0 before its first response
 * @param subsets members of each subset by name of the service
 * @param entries live entries in the list, this process included
 * @param instances unmodifiable rows of all instances by identifier, including those outside the subsets
 */
public record MembershipSnapshot(
        long listVersion, Map<String, List<Member>> subsets, List<Instance> entries, Map<String, Instance> instances) {
    /** Copies the collections. */
    public MembershipSnapshot {
        subsets = Map.copyOf(subsets);
        entries = List.copyOf(entries);
    }

    /**
     * Returns the snapshot before the first response of the instance list.
     *
     * @return a snapshot without members
     */
    public static MembershipSnapshot empty() {
        return new MembershipSnapshot(0, Map.of(), List.of(), Map.of());
    }

    /**
     * Lists the subset members of a service that accept new requests.
     *
     * @param service name of the service
     * @return members that are live and ready, and neither draining, rejecting nor failing
     */
    public List<Member> accepting(String service) {
        return subsets.getOrDefault(service, List.of()).stream()
                .filter(Member::accepts)
                .toList();
    }

    /**
     * Finds the member with an instance identifier in the subsets of all services.
     *
     * @param id identifier of the instance
     * @return the member, empty if no subset contains the instance
     */
    public Optional<Member> find(String id) {
        return subsets.values().stream()
                .flatMap(List::stream)
                .filter(member -> member.instance().id().equals(id))
                .findFirst();
    }
}
