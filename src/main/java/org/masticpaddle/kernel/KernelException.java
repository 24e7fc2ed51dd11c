package org.masticpaddle.kernel;

/**
 * Thrown when a service is missing, is registered twice or too late, or fails to start. Immutable and thread-safe.
 */
public final class KernelException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a cause.
     *
     * @param message operation that failed, with the name of the service
     */
    public KernelException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message operation that failed, with the name of the service
     * @param cause exception that the service threw
     */
    public KernelException(String message, Throwable cause) {
        super(message, cause);
    }
}
