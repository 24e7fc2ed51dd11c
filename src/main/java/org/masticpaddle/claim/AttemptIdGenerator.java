package org.masticpaddle.claim;

import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Generator of attempt ids as UUIDs of version 7. A sidecar reads the creation time from the id, so that it can refuse
 * an attempt that it may already have forgotten. Thread-safe if the clock and the random source are.
 */
public final class AttemptIdGenerator implements Supplier<String> {
    private static final int VERSION_7 = 7;
    private static final int TIME_SHIFT = 16;
    private static final long TIME_MASK = 0xFFFF_FFFF_FFFFL;
    private static final long RANDOM_HIGH_MASK = 0xFFFL;
    private static final long VERSION_BITS = 0x7000L;
    private static final long VARIANT_BITS = 0x8000_0000_0000_0000L;
    private static final long RANDOM_LOW_MASK = 0x3FFF_FFFF_FFFF_FFFFL;

    private final LongSupplier clock;
    private final LongSupplier random;

    /**
     * Creates a generator.
     *
     * @param clock time in milliseconds since 1970
     * @param random source of random bits
     */
    public AttemptIdGenerator(LongSupplier clock, LongSupplier random) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    @Override
    public String get() {
        final long high =
                (clock.getAsLong() & TIME_MASK) << TIME_SHIFT | VERSION_BITS | random.getAsLong() & RANDOM_HIGH_MASK;
        return new UUID(high, random.getAsLong() & RANDOM_LOW_MASK | VARIANT_BITS).toString();
    }

    /**
     * Reads the creation time of an attempt.
     *
     * @param attemptId attempt identifier
     * @return milliseconds since 1970, empty if the id is no UUID of version 7
     */
    public static Optional<Long> createdMillis(String attemptId) {
        return version7(attemptId).map(AttemptIdGenerator::millis);
    }

    static Optional<UUID> version7(String text) {
        if (text.length() != 36) {
            return Optional.empty();
        }
        try {
            return Optional.of(UUID.fromString(text))
                    .filter(uuid -> uuid.version() == VERSION_7 && uuid.variant() == 2);
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    static long millis(UUID uuid) {
        return uuid.getMostSignificantBits() >>> TIME_SHIFT;
    }
}
