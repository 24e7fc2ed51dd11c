package org.masticpaddle.entry;

import java.util.Objects;

/** Carries a {@link Refusal} to the place that answers the caller. Immutable and thread-safe. */
final class RefusalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusalException(Refusal refusal) {
        super(Objects.requireNonNull(refusal, "refusal is null").message());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
