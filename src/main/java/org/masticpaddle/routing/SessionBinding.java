package org.masticpaddle.routing;

import java.util.Comparator;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * Binding of a session to the version that answers it. Immutable and thread-safe.
 *
 * @param organisation organisation that owns the session
 * @param session identifier of the session
 * @param version version that answers the session
 * @param startMillis time of the binding in milliseconds since 1970
 * @param moves number of earlier moves to another version, each for a cause that the routing document permits
 */
public record SessionBinding(String organisation, String session, VersionName version, long startMillis, int moves) {
    private static final Comparator<SessionBinding> PRECEDENCE = Comparator.comparingInt(SessionBinding::moves)
            .reversed()
            .thenComparingLong(SessionBinding::startMillis)
            .thenComparing(binding -> binding.version().toString());

    /** Checks the arguments. */
    public SessionBinding {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(session, "session is null");
        Objects.requireNonNull(version, "version is null");
    }

    /**
     * Merges two bindings of one session: the one with more moves wins, then the earlier one, then the one whose
     * version name is smaller. The merge is commutative, associative and idempotent, so all replicas converge.
     *
     * @param other another binding of the same session
     * @return the winner, one of the two bindings
     */
    public SessionBinding merge(SessionBinding other) {
        return PRECEDENCE.compare(this, other) <= 0 ? this : other;
    }

    /**
     * Returns the binding after a move of the session to another version.
     *
     * @param target new version
     * @param now current time in milliseconds since 1970
     * @return new binding, which wins a merge with this one
     */
    public SessionBinding movedTo(VersionName target, long now) {
        return new SessionBinding(organisation, session, target, now, moves + 1);
    }
}
