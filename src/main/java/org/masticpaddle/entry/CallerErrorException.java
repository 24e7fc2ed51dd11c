package org.masticpaddle.entry;

import java.util.Objects;

/** Carries a {@link CallerError} to the place that answers the caller. Immutable and thread-safe. */
final class CallerErrorException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient CallerError refusal;

    CallerErrorException(CallerError refusal) {
        super(Objects.requireNonNull(refusal, "refusal is null").message());
        this.refusal = refusal;
    }

    CallerError refusal() {
        return refusal;
    }
}
