package org.masticpaddle.gateway;

import java.util.Map;

/** Parses and writes the platform's headers of requests and responses. Header names are in lower case. Immutable and thread-safe. */
public interface HeaderCodec {
    /**
     * Parses the headers of a caller's request.
     *
     * @param headers headers of the request
     * @return the metadata; numbers that cannot be parsed are absent
     */
    InboundRequest parseRequest(Map<String, String> headers);

    /**
     * Builds the headers of the request to an upstream: the caller's end-to-end headers without its API key and without
     * headers that only a gateway may set, together with the headers that the gateway sets.
     *
     * @param headers headers of the caller's request
     * @param metadata values of the headers that the gateway sets
     * @return headers of the request to the upstream
     */
    Map<String, String> upstreamRequestHeaders(Map<String, String> headers, UpstreamRequestMetadata metadata);

    /**
     * Parses the headers of an upstream's response.
     *
     * @param headers headers of the response
     * @return the metadata; values that cannot be parsed are absent
     */
    ResponseMetadata parseResponse(Map<String, String> headers);
}
