package org.masticpaddle.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Session bindings that a sidecar stores as a replica.
 *
 * <p>The number of bindings is limited. The least recently used are evicted first; the tokens that their callers hold
 * remain valid. Not thread-safe.
 */
public final class SessionBindings {
    private final long lifetimeMillis;
    private final LinkedHashMap<Key, SessionBinding> bindings;

    /**
     * Creates an empty store.
     *
     * @param capacity largest number of bindings
     * @param lifetimeMillis time in milliseconds after which a binding expires
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
     * Merges a proposed binding with the stored one, as defined by {@link SessionBinding#merge}, and stores the result.
     *
     * @param proposed proposed binding
     * @param now current time in milliseconds since 1970
     * @return the stored binding
     */
    public SessionBinding bind(SessionBinding proposed, long now) {
        final SessionBinding stored =
                find(proposed.organisation(), proposed.session(), now).orElse(proposed);
        final SessionBinding winner = stored.merge(proposed);
        bindings.put(new Key(proposed.organisation(), proposed.session()), winner);
        return winner;
    }

    /**
     * Finds the binding of a session and removes it if it has expired.
     *
     * @param organisation organisation of the caller, which can only find its own sessions
     * @param session identifier of the session
     * @param now current time in milliseconds since 1970
     * @return the binding, or empty if there is none or it has expired
     */
    public Optional<SessionBinding> find(String organisation, String session, long now) {
        final Key key = new Key(organisation, session);
        final SessionBinding stored = bindings.get(key);
        if (stored != null && now - stored.startMillis() > lifetimeMillis) {
            bindings.remove(key);
            return Optional.empty();
        }
        return Optional.ofNullable(stored);
    }

    /**
     * Returns the number of stored bindings.
     *
     * @return number of bindings, including expired ones that were not looked up since
     */
    public int size() {
        return bindings.size();
    }

    private record Key(String organisation, String session) {}
}
