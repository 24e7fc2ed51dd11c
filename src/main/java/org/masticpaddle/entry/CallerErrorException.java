package org.masticpaddle.entry;

import java.util.Objects;

/** Signals that a request ends with a {@link CallerError}. Immutable and thread-safe. */
final class CallerErrorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient CallerError error;

    CallerErrorException(CallerError error) {
        super(Objects.requireNonNull(error, "error is null").message());
        this.error = error;
    }

    CallerError error() {
        return error;
    }
}
