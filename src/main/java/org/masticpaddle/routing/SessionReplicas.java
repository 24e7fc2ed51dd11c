package org.masticpaddle.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.Hashing;

/** Selects the two sidecars that store the binding of a session, by rendezvous hashing. Stateless and thread-safe. */
public final class SessionReplicas {
    private SessionReplicas() {}

    /**
     * Selects the replicas of a session. Entries with the same list of instances select the same replicas, and adding
     * or removing an instance only affects the sessions that it gains or loses.
     *
     * @param organisation organisation that owns the session
     * @param session identifier of the session
     * @param sidecars instances to select from; only live ones are selected
     * @return at most two instances, in different failure domains if the live instances span several
     */
    public static List<Instance> of(String organisation, String session, Collection<Instance> sidecars) {
        final String key = organisation + '\n' + session;
        final List<Instance> byHash = sidecars.stream()
                .filter(instance -> instance.state() == Instance.State.LIVE)
                .sorted(Comparator.<Instance>comparingLong(
                                instance -> Hashing.rendezvousWeight(key, instance.id()) ^ Long.MIN_VALUE)
                        .reversed()
                        .thenComparing(Instance::id))
                .toList();
        if (byHash.size() <= 2) {
            return byHash;
        }
        final Instance first = byHash.get(0);
        final Instance second = byHash.stream()
                .filter(instance -> !instance.failureDomain().equals(first.failureDomain()))
                .findFirst()
                .orElse(byHash.get(1));
        return List.of(first, second);
    }
}
