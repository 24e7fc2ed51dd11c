package org.masticpaddle.wire;

import java.util.Objects;

/**
 * Thrown if a request got no complete response; states whether the peer may have received it. Immutable and
 * thread-safe.
 */
public final class HttpRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Delivery delivery;

    /**
     * Creates the exception.
     *
     * @param delivery whether the peer may have received the request
     * @param message description of the failure
     * @param cause transport error, or {@code null} if there is none
     */
    public HttpRequestException(Delivery delivery, String message, Throwable cause) {
        super(message, cause);
        this.delivery = Objects.requireNonNull(delivery, "delivery is null");
    }

    /**
     * Returns whether the peer may have received the request.
     *
     * @return {@link Delivery#NOT_SENT} only if the request is safe to retry whatever its effect
     */
    public Delivery delivery() {
        return delivery;
    }

    /** Whether a failed request may have reached the peer. */
    public enum Delivery {
        /** No byte of the request was written to a connection. */
        NOT_SENT,
        /** Some bytes of the request may have reached the peer. */
        POSSIBLY_SENT
    }

    /**
     * Returns a description of the failure for logs.
     *
     * @return the message, followed by the cause if there is one
     */
    public String reason() {
        return getCause() == null ? getMessage() : getMessage() + ": " + getCause();
    }
}
