package org.masticpaddle.standin;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions in tests. */
public final class Conditions {
    private static final long LIMIT_SECONDS = 30;

    private Conditions() {}

    /**
     * Waits until a condition holds.
     *
     * @param condition the condition
     * @throws AssertionError if it does not hold in 30 s
     */
    public static void await(BooleanSupplier condition) {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not hold in " + LIMIT_SECONDS + " s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
