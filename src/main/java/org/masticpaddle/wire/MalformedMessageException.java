package org.masticpaddle.wire;

/** Thrown if received bytes are not a message of the expected type. Immutable and thread-safe. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the violated format
     * @param cause error of the decoder, or {@code null} if there is none
     */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
