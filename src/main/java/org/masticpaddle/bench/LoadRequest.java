package org.masticpaddle.bench;

import java.util.Map;

/**
 * One request of a load. Immutable, but for the body's bytes.
 *
 * @param label group that the result is counted in
 * @param method HTTP method
 * @param path path
 * @param headers headers, the bearer key included
 * @param body body
 */
public record LoadRequest(String label, String method, String path, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public LoadRequest {
        headers = Map.copyOf(headers);
    }
}
