package org.masticpaddle.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bindings that a sidecar remembers as a home of sessions.
 *
 * <p>Holds at most the given number; the least recently used go first, and their callers' tokens remain. Not
 * thread-safe.
 */
public final class SessionBindings {
    private final long lifetimeMillis;
    private final LinkedHashMap<Key, SessionBinding> bindings;

    /**
     * Creates an empty memory.
     *
     * @param capacity most bindings remembered
     * @param lifetimeMillis lifetime of a session from its binding
     */
    public SessionBindings(int capacity, long lifetimeMillis) {
        this.lifetimeMillis = lifetimeMillis;
        this.bindings = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Key, SessionBinding> eldest) {
                return size() > capacity;
            }
        };
    }

    /**
     * Proposes a binding.
     *
     * @param proposed the binding
     * @param now current time in milliseconds since 1970
     * @return the binding that counts, by {@link SessionBinding#merge}
     */
    public SessionBinding bind(SessionBinding proposed, long now) {
        final SessionBinding known =
                find(proposed.organisation(), proposed.session(), now).orElse(proposed);
        final SessionBinding winner = known.merge(proposed);
        bindings.put(new Key(proposed.organisation(), proposed.session()), winner);
        return winner;
    }

    /**
     * Looks up a binding.
     *
     * @param organisation organisation that asks; it sees its own sessions only
     * @param session identifier of the session
     * @param now current time in milliseconds since 1970
     * @return the binding, unless unknown or expired
     */
    public Optional<SessionBinding> find(String organisation, String session, long now) {
        final Key key = new Key(organisation, session);
        final SessionBinding known = bindings.get(key);
        if (known != null && now - known.startMillis() > lifetimeMillis) {
            bindings.remove(key);
            return Optional.empty();
        }
        return Optional.ofNullable(known);
    }

    /**
     * Returns the number of bindings.
     *
     * @return size
     */
    public int size() {
        return bindings.size();
    }

    private record Key(String organisation, String session) {}
}
