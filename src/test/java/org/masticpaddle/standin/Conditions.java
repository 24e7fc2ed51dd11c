package org.masticpaddle.standin;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits in tests for a condition that another thread or process makes true. */
public final class Conditions {
    private static final long TIMEOUT_SECONDS = 30;

    private Conditions() {}

    /**
     * Polls a condition every 2 ms until it holds.
     *
     * @param condition condition to wait for
     * @throws AssertionError if the condition does not hold within 30 s
     */
    public static void await(BooleanSupplier condition) {
        final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("the condition did not hold in " + TIMEOUT_SECONDS + " s");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
