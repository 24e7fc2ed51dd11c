package org.masticpaddle.entry;

import java.util.Map;

import org.masticpaddle.wire.Frame;

/**
 * Writes the response to one request. It ends with the first call of {@link #complete} or {@link #fail}; later calls
 * have no effect. Used by one thread at a time.
 */
interface Responder {
    /** Sets a header, unless the response has started. */
    void setHeader(String name, String value);

    /** Sets the status and headers of the answer of a plain service. */
    default void setHead(int status, Map<String, String> headers) {}

    /** Delivers the next bytes of the answer. Returns {@code false} if the caller has disconnected. */
    boolean write(byte[] bytes);

    /** Discards the bytes of a failed attempt, before another attempt answers from the start. */
    default void reset() {}

    /** Ends the response after a complete answer. */
    void complete(Frame.End end);

    /** Ends the response with an error. */
    void fail(CallerError error);

    /** Whether bytes have been sent to the caller, after which another attempt cannot answer from the start. */
    boolean started();

    /** Sets the action to run if the caller disconnects before the response has ended. */
    void onCallerDisconnect(Runnable action);
}
