package org.masticpaddle.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Hop-by-hop headers, which apply to one connection only and are not forwarded. Thread-safe, since it has no state. */
public final class HopByHopHeaders {
    private static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "content-length",
            "upgrade",
            "expect",
            "http2-settings");

    private HopByHopHeaders() {}

    /**
     * Removes the hop-by-hop headers, including those that the connection header names.
     *
     * @param headers headers by lower-case name, not modified
     * @return the end-to-end headers in a new map
     */
    public static Map<String, String> strip(Map<String, String> headers) {
        final Map<String, String> endToEnd = new HashMap<>(headers);
        endToEnd.keySet().removeAll(NAMES);
        Arrays.stream(headers.getOrDefault("connection", "").split(","))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .forEach(endToEnd::remove);
        return endToEnd;
    }
}
