package org.masticpaddle.sidecar;

import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Entries that the sidecar can pull the routing document from: those in its settings, and the last ones that sent it
 * work, so that it needs no instance list of its own. Thread-safe.
 */
final class EntryOrigins {
    private static final int MAX_SEEN = 16;

    private final List<URI> configured;
    private final Map<URI, Boolean> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<URI, Boolean> eldest) {
            return size() > MAX_SEEN;
        }
    };

    EntryOrigins(List<URI> configured) {
        this.configured = List.copyOf(configured);
    }

    synchronized void seen(URI entry) {
        seen.put(entry, Boolean.TRUE);
    }

    synchronized List<URI> all() {
        final List<URI> origins = new ArrayList<>(seen.keySet());
        configured.stream().filter(origin -> !origins.contains(origin)).forEach(origins::add);
        return origins;
    }
}
