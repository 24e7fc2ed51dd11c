package org.masticpaddle.platform;

import java.util.Objects;

/** Signals that a service of the platform gave no usable answer, and whether the operation may have taken effect. Immutable and thread-safe. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Effect effect;

    /**
     * Creates the exception.
     *
     * @param effect whether the operation may have taken effect
     * @param message what failed
     * @param cause error of the layer below, or {@code null}
     */
    public PlatformException(Effect effect, String message, Throwable cause) {
        super(message, cause);
        this.effect = Objects.requireNonNull(effect, "effect is null");
    }

    /**
     * Tells whether the operation may have taken effect.
     *
     * @return the effect
     */
    public Effect effect() {
        return effect;
    }

    /** Whether a failed operation may have taken effect. */
    public enum Effect {
        /** It provably had none. */
        NONE,
        /** It may have had its effect. */
        POSSIBLE
    }
}
