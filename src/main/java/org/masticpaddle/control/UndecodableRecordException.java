package org.masticpaddle.control;

/** Signals that a record of the shared log is malformed or does not belong to its stream. Immutable and thread-safe. */
public final class UndecodableRecordException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong, including the key of the record
     * @param cause error of the codec, or {@code null}
     */
    public UndecodableRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
