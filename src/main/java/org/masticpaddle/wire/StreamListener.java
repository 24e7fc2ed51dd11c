package org.masticpaddle.wire;

import java.util.Map;

/** Receiver of a streamed response. Methods are called in order by one I/O thread and must not block. */
public interface StreamListener {
    /**
     * Returns whether the request is still to be sent. Asked once, on a connection that is open, before the first byte is
     * written.
     *
     * @return {@code false} to fail the request as not sent
     */
    default boolean mayBeSent() {
        return true;
    }

    /**
     * Receives the status and the headers, before any byte of the body.
     *
     * @param status HTTP status
     * @param headers first value of each header, by lower-case name
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Receives the next bytes of the body.
     *
     * @param bytes bytes, owned by the receiver
     */
    void onBytes(byte[] bytes);
}
