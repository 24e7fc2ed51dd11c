package org.masticpaddle.control;

import java.util.Objects;

/** Signals that a call to the shared log failed. Immutable and thread-safe. */
public final class SharedLogException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates the exception.
     *
     * @param kind what the failure means
     * @param message what failed
     * @param cause error of the layer below, or {@code null}
     */
    public SharedLogException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * Returns what the failure means.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }

    /** What a failure means. */
    public enum Kind {
        /** The log did not do the call. */
        REJECTED,
        /** No answer came; a write may have been done or may be done later. */
        UNKNOWN,
        /** Records that were asked for are deleted. */
        HISTORY_LOST,
        /** The stream does not end at the offset that was named. */
        OFFSET_MISMATCH,
        /** The answer cannot be decoded. */
        MALFORMED
    }
}
