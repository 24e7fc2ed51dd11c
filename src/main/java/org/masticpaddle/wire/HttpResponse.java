package org.masticpaddle.wire;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole HTTP response. Immutable, provided that nobody modifies the body array.
 *
 * @param status HTTP status
 * @param headers first value of each header, by lower-case name
 * @param body whole body, empty if there is none
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public HttpResponse {
        headers = Map.copyOf(headers);
    }

    /**
     * Returns whether the request succeeded.
     *
     * @return {@code true} if the status is 2xx
     */
    public boolean successful() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns a header.
     *
     * @param name header name, in any case
     * @return first value, empty if the header is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
