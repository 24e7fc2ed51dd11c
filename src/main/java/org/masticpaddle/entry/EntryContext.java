package org.masticpaddle.entry;

import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Thread, clocks and random source that the components of an entry share. The random source and the source of
 * identifiers are used on the entry's duty only.
 *
 * @param loop thread that owns the state of the entry
 * @param clock time in milliseconds since 1970
 * @param nanoClock monotonic time in nanoseconds
 * @param random random source, not thread-safe
 * @param attemptIds source of attempt identifiers
 */
record EntryContext(
        EntryLoop loop,
        LongSupplier clock,
        LongSupplier nanoClock,
        UniformRandomProvider random,
        Supplier<String> attemptIds) {
    EntryContext {
        Objects.requireNonNull(loop, "loop is null");
        Objects.requireNonNull(clock, "clock is null");
        Objects.requireNonNull(nanoClock, "nanoClock is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(attemptIds, "attemptIds is null");
    }

    long nowMillis() {
        return clock.getAsLong();
    }

    long nowNanos() {
        return nanoClock.getAsLong();
    }
}
