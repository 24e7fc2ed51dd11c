package org.masticpaddle.platform;

import java.util.Objects;

/**
 * Thrown when a service of the platform returns no usable response. States whether the operation may have taken effect.
 * Immutable and thread-safe.
 */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Effect effect;

    /**
     * Creates an exception.
     *
     * @param effect whether the operation may have taken effect
     * @param message operation that failed and why
     * @param cause underlying error, or {@code null} if there is none
     */
    public PlatformException(Effect effect, String message, Throwable cause) {
        super(message, cause);
        this.effect = Objects.requireNonNull(effect, "effect is null");
    }

    /**
     * Returns whether the operation may have taken effect.
     *
     * @return possible effect of the failed operation
     */
    public Effect effect() {
        return effect;
    }

    /** Possible effect of a failed operation. */
    public enum Effect {
        /** The operation certainly had no effect. */
        NONE,
        /** The operation may have taken effect. */
        POSSIBLE
    }
}
