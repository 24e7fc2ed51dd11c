package org.masticpaddle.entry;

import java.util.Map;

import org.masticpaddle.wire.Frame;

/**
 * Writes one answer to its caller. Exactly one of {@link #complete} and {@link #fail} ends it; calls after that do
 * nothing. Called by one thread at a time.
 */
interface Responder {
    /** Sets a header, unless the answer has begun. */
    void header(String name, String value);

    /** Status and headers of a plain service. */
    default void head(int status, Map<String, String> headers) {}

    /** Delivers the next bytes. Returns {@code false} if the caller is gone. */
    boolean bytes(byte[] bytes);

    /** Forgets what a failed attempt delivered, before another attempt answers from the start. */
    default void restart() {}

    /** Ends a whole answer. */
    void complete(Frame.End end);

    /** Ends without a whole answer. */
    void fail(CallerError refusal);

    /** Whether bytes have been sent to the caller, so that another upstream cannot answer from the start. */
    boolean begun();

    /** Sets the action for a caller that goes away. */
    void onCallerGone(Runnable action);
}
