package org.masticpaddle.control;

import java.util.Objects;

/** Signals that a request to the shared log failed. Immutable and thread-safe. */
public final class SharedLogException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates the exception.
     *
     * @param kind kind of the failure
     * @param message what failed
     * @param cause error of the layer below, or {@code null}
     */
    public SharedLogException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * Returns the kind of the failure.
     *
     * @return never {@code null}; {@link Kind#UNKNOWN} if an append may have taken effect without a response
     */
    public Kind kind() {
        return kind;
    }

    /** Kinds of failed requests. */
    public enum Kind {
        /** The request was rejected and had no effect. */
        REJECTED,
        /** There was no response; an append may have taken effect or may still do so. */
        UNKNOWN,
        /** Requested records were deleted. */
        HISTORY_LOST,
        /** The stream does not end at the expected offset. */
        OFFSET_MISMATCH,
        /** The response cannot be decoded. */
        MALFORMED
    }
}
