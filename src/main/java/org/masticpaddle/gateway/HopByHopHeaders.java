package org.masticpaddle.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that concern one connection only. Thread-safe, having no state. */
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
     * Leaves out the headers of the connection, those that the connection header names among them.
     *
     * @param headers headers by lower-case name
     * @return the others
     */
    public static Map<String, String> strip(Map<String, String> headers) {
        final Map<String, String> kept = new HashMap<>(headers);
        kept.keySet().removeAll(NAMES);
        Arrays.stream(headers.getOrDefault("connection", "").split(","))
                .map(name -> name.trim().toLowerCase(Locale.ROOT))
                .forEach(kept::remove);
        return kept;
    }
}
