package org.masticpaddle.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.masticpaddle.platform.Instance;
import org.masticpaddle.wire.Hashing;

/** Selects the two sidecars that remember a session's binding, by rendezvous hash. Stateless and thread-safe. */
public final class SessionReplicas {
    private SessionReplicas() {}

    /**
     * Selects the homes of a session. Entries with the same list agree; one instance more or less changes only the
     * sessions it gains or loses.
     *
     * @param organisation organisation that owns the session
     * @param session identifier of the session
     * @param sidecars instances to choose from; only live ones are chosen
     * @return at most two, in different failure domains if the live instances have several
     */
    public static List<Instance> of(String organisation, String session, Collection<Instance> sidecars) {
        final String key = organisation + '\n' + session;
        final List<Instance> ordered = sidecars.stream()
                .filter(instance -> instance.state() == Instance.State.LIVE)
                .sorted(Comparator.<Instance>comparingLong(
                                instance -> Hashing.rendezvous(key, instance.id()) ^ Long.MIN_VALUE)
                        .reversed()
                        .thenComparing(Instance::id))
                .toList();
        if (ordered.size() <= 2) {
            return ordered;
        }
        final Instance first = ordered.get(0);
        final Instance second = ordered.stream()
                .filter(instance -> !instance.failureDomain().equals(first.failureDomain()))
                .findFirst()
                .orElse(ordered.get(1));
        return List.of(first, second);
    }
}
