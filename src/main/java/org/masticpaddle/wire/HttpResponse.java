package org.masticpaddle.wire;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole HTTP answer. Immutable, but for the body's bytes, which nobody changes.
 *
 * @param status HTTP status
 * @param headers header values by lower-case name
 * @param body the body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public HttpResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * Tells whether the status is 2xx.
     *
     * @return {@code true} for success
     */
    public boolean successful() {
        return status >= 200 && status < 300;
    }

    /**
     * Finds a header.
     *
     * @param name name in any case
     * @return its value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
