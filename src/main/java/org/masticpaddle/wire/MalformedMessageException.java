package org.masticpaddle.wire;

/** Signals bytes that are not a message of the expected type. Immutable and thread-safe. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what was expected
     * @param cause error of the codec, or {@code null}
     */
    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
