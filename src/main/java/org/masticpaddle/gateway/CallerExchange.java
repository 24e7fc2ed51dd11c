package org.masticpaddle.gateway;

import java.util.Map;

/** The caller's side of one request. Used on the event loop only. */
public interface CallerExchange {
    /**
     * Sends a whole answer. Nothing else may follow.
     *
     * @param status HTTP status
     * @param headers headers of the answer
     * @param body body
     */
    void answer(int status, Map<String, String> headers, byte[] body);

    /**
     * Begins a streamed answer.
     *
     * @param status HTTP status
     * @param headers headers of the answer
     */
    void begin(int status, Map<String, String> headers);

    /**
     * Sends a piece of a streamed answer.
     *
     * @param bytes the piece
     */
    void piece(byte[] bytes);

    /** Ends a streamed answer as complete. */
    void end();

    /** Cuts the connection, so that a streamed answer does not look complete. */
    void cut();

    /**
     * Sets what happens when the caller leaves before the answer is complete.
     *
     * @param action runs once
     */
    void onGone(Runnable action);
}
