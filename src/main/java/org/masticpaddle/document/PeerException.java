package org.masticpaddle.document;

/** Signals that a request to another entry failed or returned an invalid response. Immutable and thread-safe. */
public final class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed
     * @param cause error of the layer below, or {@code null}
     */
    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}
