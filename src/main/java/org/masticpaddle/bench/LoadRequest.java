package org.masticpaddle.bench;

import java.util.Map;

/**
 * One request of a generated load. Immutable if the body's bytes are not changed.
 *
 * @param label group under which the result is counted
 * @param method HTTP method
 * @param path path of the resource, with the query if there is one
 * @param headers headers, including the one with the bearer key
 * @param body bytes of the body, empty for none
 */
public record LoadRequest(String label, String method, String path, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public LoadRequest {
        headers = Map.copyOf(headers);
    }
}
