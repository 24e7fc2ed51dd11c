package org.masticpaddle.gateway;

import java.util.Map;

/** Sends the response to one caller's request and observes its connection. Used on the event loop only. */
public interface CallerExchange {
    /**
     * Sends a complete response. Nothing may be sent after it.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @param body body of the response
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Starts a streamed response.
     *
     * @param status HTTP status
     * @param headers headers of the response
     */
    void startStream(int status, Map<String, String> headers);

    /**
     * Sends a chunk of a streamed response.
     *
     * @param bytes next bytes of the body
     */
    void writeChunk(byte[] bytes);

    /** Ends a streamed response as complete. */
    void endStream();

    /** Closes the connection without ending the response, so that the caller does not take it for complete. */
    void abort();

    /**
     * Returns whether the caller has disconnected, also if the event loop has not reported it yet.
     *
     * @return {@code true} if the caller waits for no response any more
     */
    boolean disconnected();

    /**
     * Registers an action for the case that the caller disconnects before the response is complete.
     *
     * @param action action that runs at most once
     */
    void onDisconnect(Runnable action);

    /**
     * Registers a receiver of whether the answer is to be read on, while the caller has not taken what was sent before.
     *
     * @param listener called with {@code false} to pause and {@code true} to go on, repeatedly
     */
    void setReadingListener(ReadingListener listener);

    /** Receives whether an answer is to be read on. */
    @FunctionalInterface
    interface ReadingListener {
        /**
         * Called repeatedly.
         *
         * @param reading {@code false} to pause, {@code true} to go on
         */
        void read(boolean reading);
    }
}
