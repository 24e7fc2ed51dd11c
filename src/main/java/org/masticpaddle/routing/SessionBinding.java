package org.masticpaddle.routing;

import java.util.Comparator;
import java.util.Objects;

import org.masticpaddle.document.VersionName;

/**
 * Binding of a session to a version. Immutable and thread-safe.
 *
 * @param organisation organisation that owns the session
 * @param session identifier of the session
 * @param version version that answers it
 * @param startMillis time at which it was bound, in milliseconds since 1970
 * @param moves moves before, each with a cause that the document names
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
     * Decides between two bindings of one session: the one after more moves, then the earlier, then the smaller name.
     * The rule is commutative, associative and idempotent, so all homes end alike.
     *
     * @param other the other binding
     * @return the binding that counts
     */
    public SessionBinding merge(SessionBinding other) {
        return PRECEDENCE.compare(this, other) <= 0 ? this : other;
    }

    /**
     * Moves the session.
     *
     * @param target new version
     * @param now current time in milliseconds since 1970
     * @return the new binding, which overrides this one
     */
    public SessionBinding movedTo(VersionName target, long now) {
        return new SessionBinding(organisation, session, target, now, moves + 1);
    }
}
