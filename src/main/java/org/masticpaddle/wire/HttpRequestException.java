package org.masticpaddle.wire;

import java.util.Objects;

/** Signals that a call brought no complete answer, and whether the peer may have received it. Immutable and thread-safe. */
public final class HttpRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Delivery delivery;

    /**
     * Creates the exception.
     *
     * @param delivery whether the peer may have received the request
     * @param message what failed
     * @param cause error of the transport, or {@code null}
     */
    public HttpRequestException(Delivery delivery, String message, Throwable cause) {
        super(message, cause);
        this.delivery = Objects.requireNonNull(delivery, "delivery is null");
    }

    /**
     * Tells whether the peer may have received the request.
     *
     * @return the delivery state
     */
    public Delivery delivery() {
        return delivery;
    }

    /** Whether a failed call may have reached its peer. */
    public enum Delivery {
        /** No byte of the request was written to a connection. */
        NOT_SENT,
        /** Some bytes may have reached the peer. */
        POSSIBLY_SENT
    }

    /**
     * Describes the failure for a log line.
     *
     * @return the message and, if there is one, the cause
     */
    public String reason() {
        return getCause() == null ? getMessage() : getMessage() + ": " + getCause();
    }
}
