package org.masticpaddle.sidecar;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Entries from which the sidecar can pull the routing document: the most recent senders of dispatches and the entries
 * in the settings. The sidecar therefore needs no instance list of its own. Thread-safe.
 */
final class EntryOrigins {
    private static final int MAX_RECENT_SENDERS = 16;

    private final List<URI> configured;
    private final Map<URI, Boolean> recentSenders = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<URI, Boolean> eldest) {
            return size() > MAX_RECENT_SENDERS;
        }
    };

    EntryOrigins(List<URI> configured) {
        this.configured = List.copyOf(configured);
    }

    synchronized void recordSender(URI entry) {
        recentSenders.put(entry, Boolean.TRUE);
    }

    synchronized List<URI> all() {
        final List<URI> origins = new ArrayList<>(recentSenders.keySet());
        configured.stream().filter(origin -> !origins.contains(origin)).forEach(origins::add);
        return origins;
    }
}
