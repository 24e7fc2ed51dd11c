package org.masticpaddle.wire;

import java.util.Map;

/** Receiver of a streamed answer. Methods are called in order by one input/output thread and must not block. */
public interface StreamListener {
    /**
     * Receives status and headers.
     *
     * @param status HTTP status
     * @param headers header values by lower-case name
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Receives some bytes of the body.
     *
     * @param bytes the bytes, owned by the receiver
     */
    void onBytes(byte[] bytes);
}
