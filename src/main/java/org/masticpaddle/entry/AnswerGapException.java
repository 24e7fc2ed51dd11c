package org.masticpaddle.entry;

/** Signals that bytes of an answer are missing, so that the attempt has to be resumed. Immutable and thread-safe. */
final class AnswerGapException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    AnswerGapException(long expectedOffset, long offset) {
        super("expected bytes from offset " + expectedOffset + ", received from " + offset);
    }
}
