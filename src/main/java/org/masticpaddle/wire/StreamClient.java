package org.masticpaddle.wire;

import java.net.URI;

/** Sends requests whose responses are streamed. */
public interface StreamClient {
    /**
     * Sends a request and streams the response.
     *
     * @param request request to send
     * @param listener receives the response on an I/O thread
     * @return handle to wait for the end of the response or to cancel the request
     */
    StreamHandle stream(HttpRequest request, StreamListener listener);

    /**
     * Closes all idle connections to a peer.
     *
     * @param origin scheme, host and port of the peer
     */
    void closeIdle(URI origin);
}
