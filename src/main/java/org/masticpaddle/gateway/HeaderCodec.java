package org.masticpaddle.gateway;

import java.util.Map;

/** Translates the headers of requests and answers. Header names are in lower case. Immutable and thread-safe. */
public interface HeaderCodec {
    /**
     * Reads a caller's headers.
     *
     * @param headers headers of the request
     * @return what they say
     */
    InboundRequest parseRequest(Map<String, String> headers);

    /**
     * Writes the headers for an upstream: those of the caller that are not for one connection only, without its key and
     * without what only a gateway may say, and what the gateway says.
     *
     * @param headers headers of the caller's request
     * @param facts what the gateway says
     * @return headers of the request to the upstream
     */
    Map<String, String> upstreamRequestHeaders(Map<String, String> headers, UpstreamRequestMetadata facts);

    /**
     * Reads an upstream's headers.
     *
     * @param headers headers of the answer
     * @return what they say
     */
    ResponseMetadata parseResponse(Map<String, String> headers);
}
