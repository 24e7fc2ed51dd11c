package org.masticpaddle.document;

/** Signals that another entry gave no usable answer. Immutable and thread-safe. */
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
