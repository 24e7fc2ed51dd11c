package org.masticpaddle.kernel;

/** Signals that a service is missing, registered twice, or failed to start or stop. Immutable and thread-safe. */
public final class KernelException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what failed, with the name of the service
     */
    public KernelException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message what failed, with the name of the service
     * @param cause the error of the service
     */
    public KernelException(String message, Throwable cause) {
        super(message, cause);
    }
}
